// Package kwdirectcontrol is the control role of a fleet without agents. The control processes bootstrap from a list of
// seeds; their leader replicates the declaration, tracks endpoints by their heartbeats and places layers on model
// servers. Package kwcontrol is the control role of a fleet with agents.
package kwdirectcontrol
