// Package kwkeys creates the fleet's certificate authority, issues a key pair for each process and provides the TLS
// configurations that use them.
package kwkeys
