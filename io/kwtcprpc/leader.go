package kwtcprpc

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdiscovery"
	"knapweedproxy/io/kwtime"
)

const (
	// attemptTimeout bounds a call to one control process, so that an unresponsive one costs less than a heartbeat
	// interval.
	attemptTimeout = 800 * time.Millisecond
	// retryDelay is the delay after all known control processes have been tried.
	retryDelay = 60 * time.Millisecond
)

// LeaderClient sends calls to the leader of the control processes, which it finds by trying the known addresses and
// following the leader hints in their replies.
type LeaderClient struct {
	pool   *Pool
	mu     sync.Mutex
	finder *kwdiscovery.Finder
	now    func() time.Time
}

// NewLeaderClient returns a client that knows some addresses of control processes.
func NewLeaderClient(pool *Pool, seeds []string) *LeaderClient {
	return &LeaderClient{pool: pool, finder: kwdiscovery.NewFinder(seeds), now: time.Now}
}

// SetSeeds replaces the addresses of control processes that the settings name; an empty list changes nothing.
func (l *LeaderClient) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finder.SetSeeds(seeds)
}

// SetMembers replaces the known addresses of the members of the replicated log; an empty list changes nothing.
func (l *LeaderClient) SetMembers(members []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finder.SetMembers(members)
}

// SetHint sets the address to try first, which the caller believes to be the leader's.
func (l *LeaderClient) SetHint(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finder.SetHint(address)
}

func (l *LeaderClient) nextAddress() (address string, roundDone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finder.Next(l.now())
}

// Call sends a request to the leader and keeps looking for the leader until the context ends. extraTimeout is added to
// the timeout of each attempt, for long polls.
func (l *LeaderClient) Call(ctx context.Context, kind Kind, req, resp any, extraTimeout time.Duration) error {
	lastErr := kwcode.New(kwcode.PeerUnreachable, "no control process answered")
	for ctx.Err() == nil {
		address, roundDone := l.nextAddress()
		if address != "" {
			start := l.now()
			attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout+extraTimeout)
			err := l.pool.Call(attemptCtx, address, kind, req, resp)
			cancel()
			if err == nil {
				l.SetHint(address)
				return nil
			}
			lastErr = kwcode.FromError(err)
			if !retryElsewhere(lastErr) {
				l.SetHint(address)
				return lastErr
			}
			l.recordFailure(address, lastErr, l.now().Sub(start))
		}
		if roundDone {
			kwtime.Sleep(ctx, retryDelay)
		}
	}
	return lastErr
}

// recordFailure records that an address did not answer as the leader, after the elapsed time.
func (l *LeaderClient) recordFailure(address string, err *kwcode.Error, elapsed time.Duration) {
	failure := kwdiscovery.Failure{Address: address, Elapsed: elapsed, Unreachable: err.Code == kwcode.PeerUnreachable}
	if err.Code == kwcode.NotLeader {
		failure.Suggested = err.Endpoint
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finder.Failed(l.now(), failure)
}

// retryElsewhere reports whether another control process may succeed where one failed with err.
func retryElsewhere(err *kwcode.Error) bool {
	switch err.Code {
	case kwcode.NotLeader, kwcode.PeerUnreachable, kwcode.ControlStopping, kwcode.DiskFailed:
		return true
	}
	return false
}
