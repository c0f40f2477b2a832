// Package commands is the command line: one file a command.
package commands
