// Package kwdirectcontrol is the control role of a fleet without agents, which founds itself from a list of seeds:
// replicated declaration, announced endpoints and placement.
package kwdirectcontrol
