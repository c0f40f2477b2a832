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
	// probeTimeout bounds one attempt to connect: many times the delay between availability zones.
	probeTimeout = 60 * time.Millisecond
	// probeTries is how many attempts must stay without an answer, so that one lost packet is no loss of an endpoint.
	probeTries = 2
)

// Probe tells how an endpoint meets a connection; nothing is sent on it.
func Probe(ctx context.Context, address string) kwchainsearch.ConnectResult {
	for range probeTries {
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
