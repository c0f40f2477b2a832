// Package kwcontrol is the control role: one goroutine owns the blackboard, the log and the membership.
package kwcontrol
