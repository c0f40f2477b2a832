// Package kwcontrol implements the control loop, which every control process runs, and the control role of a fleet with
// agents. One goroutine owns the replicated log, the state machine and the membership tables. The control role of a
// fleet without agents is in package kwdirectcontrol.
package kwcontrol
