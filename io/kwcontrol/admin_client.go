package kwcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"knapweedproxy/core/kwcode"
)

// AdminClient calls the admin interface of the control processes at the given base URLs.
type AdminClient struct {
	URLs    []string
	Token   string
	Timeout time.Duration
}

// Call sends a request to the leader: each address is tried until one is not refused as no leader.
func (o AdminClient) Call(method, path string, in, out any) error {
	var last error
	for _, base := range o.URLs {
		err := o.CallOne(base, method, path, in, out)
		if !kwcode.Is(err, kwcode.NotLeader) && !kwcode.Is(err, kwcode.PeerUnreachable) {
			return err
		}
		last = err
	}
	return last
}

// CallOne sends a request to one control process; in may be nil, a refusal comes back with its result code.
func (o AdminClient) CallOne(base, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return kwcode.New(kwcode.Usage, "%v", err)
		}
		body = data
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return kwcode.New(kwcode.Usage, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if o.Token != "" {
		req.Header.Set("Authorization", "Bearer "+o.Token)
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
	var refused ErrorReply
	if err := dec.Decode(&refused); err != nil {
		return kwcode.New(kwcode.OperationFailed, "%s: status %d", resp.Request.URL, resp.StatusCode)
	}
	return kwcode.New(refused.Error.Code, "%s", refused.Error.Message)
}
