// Package kwcontrol is the control role of a fleet with agents. It also implements the control loop that every control
// process runs, in which one goroutine owns the replicated log, the state machine and the membership tables. Package
// kwdirectcontrol is the control role of a fleet without agents.
package kwcontrol
