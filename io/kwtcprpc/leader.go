package kwtcprpc

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwtime"
)

const (
	// attemptTimeout bounds a call to one control process, so that an unresponsive one costs less than a heartbeat interval.
	attemptTimeout = 800 * time.Millisecond
	// retryDelay is the delay after all known control processes have been tried.
	retryDelay = 60 * time.Millisecond
	// maxCooldown bounds how long an unreachable address is skipped, even if another process names it as the leader: members
	// keep naming a dead leader until they have elected the next.
	maxCooldown = 1500 * time.Millisecond
	// cooldownFactor is the cooldown of an unreachable address as a multiple of the time that the failed call took, so
	// that at most a third of the time is lost to that address. A refused connection takes no time and causes no
	// cooldown, so that a process that has just started is found at once.
	cooldownFactor = 2
)

// LeaderClient sends calls to the leader of the control processes, which it finds by trying the known addresses and
// following the leader hints in their replies.
type LeaderClient struct {
	pool       *Pool
	mu         sync.Mutex
	addresses  []string
	leaderHint string
	nextIndex  int
	// cooldownUntil holds the end of the cooldown of each unreachable address.
	cooldownUntil map[string]time.Time
	now           func() time.Time
}

// NewLeaderClient returns a client that knows some addresses of control processes.
func NewLeaderClient(pool *Pool, addresses []string) *LeaderClient {
	return &LeaderClient{pool: pool, addresses: addresses, cooldownUntil: make(map[string]time.Time), now: time.Now}
}

// SetAddresses replaces the addresses of the control processes; an empty list changes nothing.
func (l *LeaderClient) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
}

// Hint sets the address to try first, which the caller believes to be the leader's.
func (l *LeaderClient) Hint(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderHint = address
}

// nextAddress returns the address to try next; roundDone reports that every known address has been tried once more.
func (l *LeaderClient) nextAddress() (address string, roundDone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaderHint != "" {
		return l.leaderHint, false
	}
	if len(l.addresses) == 0 {
		return "", true
	}
	for range l.addresses {
		address = l.addresses[l.nextIndex%len(l.addresses)]
		l.nextIndex++
		roundDone = roundDone || l.nextIndex%len(l.addresses) == 0
		if l.now().After(l.cooldownUntil[address]) {
			break
		}
	}
	return address, roundDone
}

// Call sends a request to the leader and keeps looking for the leader until the context ends. extraTimeout is added to the
// timeout of each attempt, for long polls.
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
				l.Hint(address)
				return nil
			}
			lastErr = kwcode.FromError(err)
			if !retryElsewhere(lastErr) {
				l.Hint(address)
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

// recordFailure records that an address did not answer as the leader, after the elapsed time: an unreachable address
// enters its cooldown, and the leader that a NotLeader error names becomes the hint unless it is in its own cooldown.
func (l *LeaderClient) recordFailure(address string, err *kwcode.Error, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaderHint == address {
		l.leaderHint = ""
	}
	if err.Code == kwcode.PeerUnreachable {
		l.cooldownUntil[address] = l.now().Add(min(cooldownFactor*elapsed, maxCooldown))
	}
	suggested := err.Endpoint
	if err.Code == kwcode.NotLeader && suggested != "" && suggested != address && l.now().After(l.cooldownUntil[suggested]) {
		l.leaderHint = suggested
	}
}

// retryElsewhere reports whether another control process may succeed where one failed with err.
func retryElsewhere(err *kwcode.Error) bool {
	switch err.Code {
	case kwcode.NotLeader, kwcode.PeerUnreachable, kwcode.ControlStopping, kwcode.DiskFailed:
		return true
	}
	return false
}
