// Package kwid names the identifiers and units that all roles share.
package kwid
