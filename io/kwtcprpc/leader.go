package kwtcprpc

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwtime"
)

const (
	// tryTimeout bounds one try at one control process, so that a silent one costs less than a heartbeat.
	tryTimeout = 800 * time.Millisecond
	// retryPause is the pause after all known control processes were asked.
	retryPause = 60 * time.Millisecond
	// shunTime bounds how long an address that did not answer is not taken up again on the word of another process: members
	// name a leader that has died until they have elected the next.
	shunTime = 1500 * time.Millisecond
	// shunFactor times what a failure took is how long its address is shunned, so that a third of the time is lost to it at
	// most. One that refuses connections costs nothing, and a process that has just started is found at once.
	shunFactor = 2
)

// LeaderClient sends calls to the leader of control, which it finds by asking the processes that it knows.
type LeaderClient struct {
	pool  *Pool
	mu    sync.Mutex
	known []string
	hint  string
	next  int
	// shunned holds until when addresses that did not answer are shunned.
	shunned map[string]time.Time
	now     func() time.Time
}

// NewLeaderClient returns a client that begins with some addresses.
func NewLeaderClient(pool *Pool, known []string) *LeaderClient {
	return &LeaderClient{pool: pool, known: known, shunned: make(map[string]time.Time), now: time.Now}
}

// SetAddresses replaces the addresses of control; an empty list changes nothing.
func (l *LeaderClient) SetAddresses(known []string) {
	if len(known) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = known
}

// Hint names the address that leads, as far as the caller knows.
func (l *LeaderClient) Hint(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hint = address
}

// pick returns the address to try; wrapped tells that all known ones were tried once more.
func (l *LeaderClient) pick() (address string, wrapped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hint != "" {
		return l.hint, false
	}
	if len(l.known) == 0 {
		return "", true
	}
	for range l.known {
		address = l.known[l.next%len(l.known)]
		l.next++
		wrapped = wrapped || l.next%len(l.known) == 0
		if l.now().After(l.shunned[address]) {
			break
		}
	}
	return address, wrapped
}

// Call asks the leader and keeps looking for it until the context ends; extra is added to the time of each try, for
// calls that wait on purpose.
func (l *LeaderClient) Call(ctx context.Context, kind Kind, req, resp any, extra time.Duration) error {
	last := kwcode.New(kwcode.PeerUnreachable, "no control process answered")
	for ctx.Err() == nil {
		address, wrapped := l.pick()
		if address != "" {
			begin := l.now()
			try, cancel := context.WithTimeout(ctx, tryTimeout+extra)
			err := l.pool.Call(try, address, kind, req, resp)
			cancel()
			if err == nil {
				l.Hint(address)
				return nil
			}
			last = kwcode.FromError(err)
			if !elsewhere(last) {
				l.Hint(address)
				return last
			}
			l.follow(address, last, l.now().Sub(begin))
		}
		if wrapped {
			kwtime.Sleep(ctx, retryPause)
		}
	}
	return last
}

// follow turns away from an address that did not answer as leader, which took some time, to the one that it names if any.
func (l *LeaderClient) follow(address string, err *kwcode.Error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hint == address {
		l.hint = ""
	}
	if err.Code == kwcode.PeerUnreachable {
		l.shunned[address] = l.now().Add(min(shunFactor*took, shunTime))
	}
	named := err.Endpoint
	if err.Code == kwcode.NotLeader && named != "" && named != address && l.now().After(l.shunned[named]) {
		l.hint = named
	}
}

// elsewhere tells whether another control process may give another answer.
func elsewhere(err *kwcode.Error) bool {
	switch err.Code {
	case kwcode.NotLeader, kwcode.PeerUnreachable, kwcode.ControlStopping, kwcode.DiskFailed:
		return true
	}
	return false
}
