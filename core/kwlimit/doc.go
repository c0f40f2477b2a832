// Package kwlimit admits requests by workspace shares and refuses early with a time to come back.
package kwlimit
