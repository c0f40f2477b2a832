package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwcontrol"
)

// adminFlags say how to reach control.
type adminFlags struct {
	Admin   []string      `required:"" placeholder:"URL" help:"Base URLs of control processes' admin addresses."`
	Token   string        `env:"KNAPWEEDPROXY_ADMIN_TOKEN" help:"Admin token."`
	Timeout time.Duration `default:"25s" help:"Time limit of the request."`
}

// call sends a request to the leader: each address is tried until one is not refused as no leader.
func (f adminFlags) call(method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return kwcode.New(kwcode.Usage, "%v", err)
		}
		body = data
	}
	var last error
	for _, base := range f.Admin {
		err := f.once(method, base+path, body, out)
		if err == nil {
			return nil
		}
		if !kwcode.Is(err, kwcode.NotLeader) && !kwcode.Is(err, kwcode.PeerUnreachable) {
			return err
		}
		last = err
	}
	return last
}

func (f adminFlags) once(method, url string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return kwcode.New(kwcode.Usage, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if f.Token != "" {
		req.Header.Set("Authorization", "Bearer "+f.Token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var refused kwcontrol.ErrorReply
		if err := json.NewDecoder(resp.Body).Decode(&refused); err != nil {
			return kwcode.New(kwcode.OperationFailed, "%s: status %d", url, resp.StatusCode)
		}
		return kwcode.New(refused.Error.Code, "%s", refused.Error.Message)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%s: %v", url, err)
	}
	return nil
}
