package kwupstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"knapweedproxy/core/kwchainsearch"
)

const (
	// probeTimeout bounds one attempt to connect; it is many times the network delay between availability zones.
	probeTimeout = 60 * time.Millisecond
	// probeAttempts is how many attempts must fail before an endpoint counts as unreachable, so that one lost packet does
	// not suffice.
	probeAttempts = 2
)

// Probe opens a connection to an endpoint to learn whether it is reachable, and sends nothing on it.
func Probe(ctx context.Context, address string) kwchainsearch.ConnectResult {
	for range probeAttempts {
		d := net.Dialer{Timeout: probeTimeout}
		c, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = c.Close()
			return kwchainsearch.Connected
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return kwchainsearch.Refused
		}
	}
	return kwchainsearch.Unresponsive
}
