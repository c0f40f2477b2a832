package kwcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// LeaderClient sends calls to the leader of the control processes, which it finds by trying the configured addresses
// in turn.
type LeaderClient struct {
	transport    *kwquic.Node
	addresses    []string
	addressIndex atomic.Int64
}

// NewLeaderClient returns a LeaderClient; addresses must not be empty.
func NewLeaderClient(transport *kwquic.Node, addresses []string) *LeaderClient {
	return &LeaderClient{transport: transport, addresses: addresses}
}

const (
	// attemptTimeout bounds one attempt at one address.
	attemptTimeout = 1500 * time.Millisecond
	// roundPause is the pause after all addresses have failed.
	roundPause = 50 * time.Millisecond
)

// Call sends a request to the leader. It tries the addresses in turn until one answers or the context ends, so a
// request may reach a member more than once and must be idempotent.
func (c *LeaderClient) Call(ctx context.Context, kind kwagentproto.Kind, in, out any) error {
	return c.CallWithTimeout(ctx, attemptTimeout, kind, in, out)
}

// CallWithTimeout is like Call, with a timeout for each attempt.
func (c *LeaderClient) CallWithTimeout(ctx context.Context, timeout time.Duration, kind kwagentproto.Kind, in, out any) error {
	var lastErr error = kwcode.New(kwcode.PeerUnreachable, "no control process answered")
	for attempt := 0; ; attempt++ {
		index := c.addressIndex.Load()
		address := c.addresses[int(index)%len(c.addresses)]
		err := c.callOne(ctx, timeout, address, kind, in, out)
		if err == nil || isFinal(err) {
			return err
		}
		lastErr = err
		c.addressIndex.CompareAndSwap(index, index+1)
		if attempt%len(c.addresses) != len(c.addresses)-1 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(roundPause):
		}
	}
}

// isFinal reports whether err is the same whichever member is asked, so that a retry at another address is pointless.
func isFinal(err error) bool {
	switch kwcode.FromError(err).Code {
	case kwcode.NotLeader, kwcode.PeerUnreachable, kwcode.ControlStopping, kwcode.DiskFailed, kwcode.JournalUnavailable, kwcode.OperationFailed:
		return false
	}
	return true
}

// callOne sends a request to one address, and fails if another kind of process answers there.
func (c *LeaderClient) callOne(ctx context.Context, timeout time.Duration, address string, kind kwagentproto.Kind, in, out any) error {
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := c.transport.Open(attemptCtx, address, "")
	if err != nil {
		return err
	}
	if s.Peer().Role != kwkeys.RoleControl {
		s.Close()
		return kwcode.New(kwcode.PeerUnreachable, "%s is not a control process", address)
	}
	return s.Call(attemptCtx, kind, in, out)
}

// Address returns the address that the next call tries first: the one that answered last, unless it was skipped.
func (c *LeaderClient) Address() string {
	return c.addresses[int(c.addressIndex.Load())%len(c.addresses)]
}

// NextAddress makes the next call start with the following address, after a failure at the current one.
func (c *LeaderClient) NextAddress() {
	c.addressIndex.Add(1)
}
