// Package kwcontrol holds the loop of a control process, which both kinds of fleet run, and the control role of a fleet
// with agents: one goroutine owns the tables, the log and the membership. kwdirectcontrol is the role without agents.
package kwcontrol
