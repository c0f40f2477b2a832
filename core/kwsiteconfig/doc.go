// Package kwsiteconfig defines the fleet declaration of a fleet with agents, and decodes, merges and checks its TOML
// files: one base file and an overlay for each site. Package kwdeclaration defines the numbered declaration of a fleet
// without agents.
package kwsiteconfig
