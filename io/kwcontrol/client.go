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

// Client finds the leading control process among the configured addresses.
type Client struct {
	wire      *kwquic.Node
	addresses []string
	last      atomic.Int64
}

// NewClient returns a Client; addresses must not be empty.
func NewClient(wire *kwquic.Node, addresses []string) *Client {
	return &Client{wire: wire, addresses: addresses}
}

const (
	tryTimeout = 1500 * time.Millisecond
	tryPause   = 50 * time.Millisecond
)

// Call sends a request to the leader, trying all addresses until one answers or the context ends.
// A request may reach a member more than once, so it must be idempotent.
func (c *Client) Call(ctx context.Context, kind kwagentproto.Kind, in, out any) error {
	return c.CallWithTimeout(ctx, tryTimeout, kind, in, out)
}

// CallWithTimeout is Call with a bound on each single try.
func (c *Client) CallWithTimeout(ctx context.Context, each time.Duration, kind kwagentproto.Kind, in, out any) error {
	var last error = kwcode.New(kwcode.PeerUnreachable, "no control process answered")
	for try := 0; ; try++ {
		at := c.last.Load()
		address := c.addresses[int(at)%len(c.addresses)]
		err := c.once(ctx, each, address, kind, in, out)
		if err == nil || final(err) {
			return err
		}
		last = err
		c.last.CompareAndSwap(at, at+1)
		if try%len(c.addresses) != len(c.addresses)-1 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(tryPause):
		}
	}
}

// final tells whether another member would give the same answer.
func final(err error) bool {
	switch kwcode.FromError(err).Code {
	case kwcode.NotLeader, kwcode.PeerUnreachable, kwcode.ControlStopping, kwcode.DiskFailed, kwcode.JournalUnavailable, kwcode.OperationFailed:
		return false
	}
	return true
}

func (c *Client) once(ctx context.Context, each time.Duration, address string, kind kwagentproto.Kind, in, out any) error {
	try, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	s, err := c.wire.Open(try, address, "")
	if err != nil {
		return err
	}
	if s.Peer().Role != kwkeys.RoleControl {
		s.Close()
		return kwcode.New(kwcode.PeerUnreachable, "%s is no control process", address)
	}
	return s.Call(try, kind, in, out)
}

// Address returns the address that answered last.
func (c *Client) Address() string {
	return c.addresses[int(c.last.Load())%len(c.addresses)]
}

// NextAddress moves on to the next address after a failure.
func (c *Client) NextAddress() {
	c.last.Add(1)
}
