// Package kwendpointlimit keeps endpoints within the number of requests a second that they name in their answers, which all entries
// share.
package kwendpointlimit
