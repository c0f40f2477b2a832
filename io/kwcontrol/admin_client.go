package kwcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"knapweedproxy/core/kwcode"
)

// AdminClient calls the admin interface of the control processes at the given base URLs; Timeout applies to each
// request, and to the wait for a leader.
type AdminClient struct {
	URLs    []string
	Token   string
	Timeout time.Duration
}

// Call sends a request to the leader. It tries the URLs in order and skips members that are unreachable or do not lead. If
// none leads, as during an election, it tries again until Timeout has passed. A request may reach more than one leader and
// must be idempotent.
func (c AdminClient) Call(method, path string, in, out any) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		var lastErr, notLeader error
		for _, base := range c.URLs {
			err := c.CallOne(base, method, path, in, out)
			switch {
			case kwcode.Is(err, kwcode.NotLeader):
				notLeader = err
			case !kwcode.Is(err, kwcode.PeerUnreachable):
				return err
			}
			lastErr = err
		}
		if notLeader == nil {
			return lastErr
		}
		if !time.Now().Before(deadline) {
			return notLeader
		}
		time.Sleep(roundPause)
	}
}

// CallOne sends a request to one control process; in may be nil. A rejected request returns an error with the result
// code of the reply.
func (c AdminClient) CallOne(base, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return kwcode.New(kwcode.Usage, "%v", err)
		}
		body = data
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return kwcode.New(kwcode.Usage, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeReply(resp, out)
}

func decodeReply(resp *http.Response, out any) error {
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		if err := dec.Decode(out); err != nil {
			return kwcode.New(kwcode.FrameMalformed, "%s: %v", resp.Request.URL, err)
		}
		return nil
	}
	var reply ErrorReply
	if err := dec.Decode(&reply); err != nil {
		return kwcode.New(kwcode.OperationFailed, "%s: status %d", resp.Request.URL, resp.StatusCode)
	}
	return kwcode.New(reply.Error.Code, "%s", reply.Error.Message)
}
