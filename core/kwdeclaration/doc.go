// Package kwdeclaration holds the numbered whole declaration of a fleet without agents, which an operator replaces at
// run time: routes, services, workspaces and caller limits.
package kwdeclaration
