// Package kwsiteconfig decodes, merges and checks the TOML files that declare a fleet with agents: one base file and an
// overlay for each site.
package kwsiteconfig
