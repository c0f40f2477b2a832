// Package kwdeclaration defines the declaration of a fleet without agents: its routes, services, workspaces and request
// limits. An operator replaces it as a whole at run time; each replacement has a higher number.
package kwdeclaration
