// Package kwdeclaration defines the numbered declaration of a fleet without agents: its routes, services, workspaces and
// request limits. An operator replaces it as a whole at run time; each replacement has a higher number. Package
// kwsiteconfig defines the fleet declaration of a fleet with agents.
package kwdeclaration
