package kwdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwcontrol"
)

const adminTimeout = 10 * time.Second

func (f *Fleet) get(url string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return kwcode.New(kwcode.OperationFailed, "%v", err)
	}
	return doJSON(req, out)
}

func doJSON(req *http.Request, out any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var refused kwcontrol.ErrorReply
		_ = json.NewDecoder(resp.Body).Decode(&refused)
		return &kwcode.Error{Code: refused.Error.Code, Detail: refused.Error.Message}
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return nil
}

// Admin sends an operator's request to the leading control process.
func (f *Fleet) Admin(path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	var last error
	for _, admin := range f.admins {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, admin+path, bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			err = doJSON(req, out)
		}
		cancel()
		if err == nil {
			return nil
		}
		if last == nil || !kwcode.Is(err, kwcode.NotLeader) && !kwcode.Is(err, kwcode.PeerUnreachable) {
			last = err
		}
	}
	return last
}

// AdminURLs returns the base URLs for operators.
func (f *Fleet) AdminURLs() []string { return f.admins }
