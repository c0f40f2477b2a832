// Package kwcorrelate matches responses to pending requests by request ID, in whatever order the responses arrive.
package kwcorrelate
