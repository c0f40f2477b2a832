// Package kwconfig decodes, merges and checks the fleet declaration: one base file and an overlay for each site.
package kwconfig
