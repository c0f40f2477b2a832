package kwsignal

import (
	"os/signal"
	"syscall"
)

// IgnoreBrokenPipe makes writes to a standard output or standard error that nobody reads fail. By default they end the process,
// so that a restart of the log collector would cut off its callers.
func IgnoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
