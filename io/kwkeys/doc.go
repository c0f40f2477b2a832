// Package kwkeys makes the fleet's certificate authority, issues a key for each process and serves them to TLS.
package kwkeys
