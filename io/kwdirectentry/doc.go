// Package kwdirectentry is the entry role of a fleet without agents, whose endpoints announce themselves and whose
// engines chain natively: it takes the callers' HTTP requests, chooses who serves them and relays the answers.
package kwdirectentry
