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
	// probeStagger is the time between the starts of two attempts. Streams pause until all have failed, and callers accept a pause of
	// 250 ms.
	probeStagger = 15 * time.Millisecond
	// maxProbeLateness is by how much the attempts may time out late. Beyond it this process had no processor time, and answers that
	// came meanwhile were not read.
	maxProbeLateness = 30 * time.Millisecond
)

// Probe opens a connection to an endpoint to learn whether it is reachable, and sends nothing on it. The attempts overlap; where this
// process was stalled meanwhile, they are made once more.
func Probe(ctx context.Context, address string) kwchainsearch.ConnectResult {
	begin := time.Now()
	result := probeOnce(ctx, address)
	if result == kwchainsearch.Unresponsive && time.Since(begin) > probeTimeout+(probeAttempts-1)*probeStagger+maxProbeLateness {
		return probeOnce(ctx, address)
	}
	return result
}

// probeOnce makes all attempts and returns the first result other than Unresponsive, if there is one.
func probeOnce(ctx context.Context, address string) kwchainsearch.ConnectResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan kwchainsearch.ConnectResult, probeAttempts)
	next := time.NewTimer(0)
	defer next.Stop()
	started, ended := 0, 0
	for ended < probeAttempts {
		select {
		case <-next.C:
			go func() { results <- connect(ctx, address) }()
			if started++; started < probeAttempts {
				next.Reset(probeStagger)
			}
		case result := <-results:
			if ended++; result != kwchainsearch.Unresponsive {
				return result
			}
		}
	}
	return kwchainsearch.Unresponsive
}

// connect makes one attempt to connect.
func connect(ctx context.Context, address string) kwchainsearch.ConnectResult {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
		return kwchainsearch.Connected
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return kwchainsearch.Refused
	}
	return kwchainsearch.Unresponsive
}
