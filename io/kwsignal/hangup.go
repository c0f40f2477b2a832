package kwsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// ClaimHangups returns a channel that receives SIGHUP. The claim lasts until the process exits, whether or not the channel is
// read, since the default action of SIGHUP ends a process without a drain. It belongs before anything that accepts connections.
func ClaimHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
