// Package commands implements the command line of knapweedproxy. The type of each command holds its arguments and flags;
// its Run method executes it.
package commands
