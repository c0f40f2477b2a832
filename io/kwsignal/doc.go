// Package kwsignal keeps signals from ending a process that still owes answers to its callers.
package kwsignal
