// Package kwid defines the identifier and index types that all roles share.
package kwid
