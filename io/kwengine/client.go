package kwengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwcorrelate"
	"knapweedproxy/core/kwid"
)

// Config holds the settings of a Client. The host of BaseURL is an IP address.
type Config struct {
	BaseURL string
	// OnMismatchedReply is called when a reply arrives in answer to another step than its own; request is the one that
	// the reply names. It may be nil.
	OnMismatchedReply func(request kwid.RequestID)
}

// Client is a client of one engine; it is safe for concurrent use.
type Client struct {
	cfg     Config
	http    *http.Client
	replies *kwcorrelate.Matcher[StepReply]
}

const (
	maxIdleConns = 256
	maxBodyBytes = 32 << 20
	// queryTimeout bounds the requests for the load report and for the engine info.
	queryTimeout = time.Second
	// maxStepAttempts and mismatchedReplyTimeout apply when the engine answers a step with the reply to another step.
	maxStepAttempts        = 3
	mismatchedReplyTimeout = 500 * time.Millisecond
)

// New returns a client of the engine at cfg.BaseURL.
func New(cfg Config) *Client {
	if cfg.OnMismatchedReply == nil {
		cfg.OnMismatchedReply = func(kwid.RequestID) {}
	}
	return &Client{
		cfg:     cfg,
		replies: kwcorrelate.New[StepReply](),
		http: &http.Client{
			Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// post sends in as JSON and decodes the JSON reply into out.
func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return kwcode.New(kwcode.EngineFailed, "encode request: %v", err)
	}
	return c.do(ctx, http.MethodPost, path, body, out)
}

// do sends a request and decodes its JSON reply into out.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return kwcode.New(kwcode.EngineFailed, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return kwcode.New(kwcode.EngineFailed, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return kwcode.New(kwcode.EngineFailed, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return kwcode.New(kwcode.EngineFailed, "decode reply: %v", err)
	}
	return nil
}

// statusError converts a status other than 200 and its body to an error.
func statusError(status int, data []byte) error {
	var reply ErrorReply
	_ = json.Unmarshal(data, &reply)
	switch status {
	case http.StatusInsufficientStorage:
		return kwcode.New(kwcode.EngineMemoryFull, "%s", reply.Error)
	case http.StatusConflict:
		return kwcode.New(kwcode.StepGap, "%s", reply.Error)
	case http.StatusPreconditionFailed:
		return kwcode.New(kwcode.StaleFence, "%s", reply.Error)
	}
	return kwcode.New(kwcode.EngineFailed, "status %d: %s", status, reply.Error)
}

func stepKey(request kwid.RequestID, attempt kwid.Attempt, position kwid.Position) string {
	return fmt.Sprintf("%s/%d/%d", request, attempt, position)
}

// Step runs one step and returns the reply that names it. A reply that names another step is delivered to that step's
// caller, and this step is requested again. The engine answers a repeated step with its stored result, so that nothing
// runs twice.
func (c *Client) Step(ctx context.Context, in StepRequest) (StepReply, error) {
	key := stepKey(in.Request, in.Attempt, in.Position)
	var lastErr error
	for range maxStepAttempts {
		reply, err := c.stepOnce(ctx, key, in)
		if err == nil || !kwcode.Is(err, kwcode.StepTimeout) {
			return reply, err
		}
		lastErr = err
	}
	return StepReply{}, lastErr
}

// stepOnce requests a step once and waits for its reply, which may also arrive in answer to another step.
func (c *Client) stepOnce(ctx context.Context, key string, in StepRequest) (StepReply, error) {
	matched, stopWaiting := c.replies.Expect(key)
	defer stopWaiting()
	failed := make(chan error, 1)
	mismatched := make(chan struct{})
	go c.exchange(ctx, key, in, failed, mismatched)
	var timeout <-chan time.Time
	for {
		select {
		case reply := <-matched:
			return reply, nil
		case err := <-failed:
			return StepReply{}, err
		case <-mismatched:
			mismatched = nil
			timeout = time.After(mismatchedReplyTimeout)
		case <-timeout:
			return StepReply{}, kwcode.New(kwcode.StepTimeout, "the engine replied with the result of another step")
		}
	}
}

// exchange posts a step and delivers the reply to the step that it names, even if this step already has its own reply.
func (c *Client) exchange(ctx context.Context, key string, in StepRequest, failed chan<- error, mismatched chan<- struct{}) {
	var reply StepReply
	if err := c.post(ctx, PathStep, in, &reply); err != nil {
		failed <- err
		return
	}
	repliedKey := stepKey(reply.Request, reply.Attempt, reply.Position)
	if repliedKey != key {
		c.cfg.OnMismatchedReply(reply.Request)
		close(mismatched)
	}
	c.replies.Deliver(repliedKey, reply)
}

// Tokenize returns the tokens of a text.
func (c *Client) Tokenize(ctx context.Context, text string) ([]kwid.Token, error) {
	var out TokenizeReply
	err := c.post(ctx, PathTokenize, TokenizeRequest{Text: text}, &out)
	return out.Tokens, err
}

// Cancel frees the KV cache of an attempt.
func (c *Client) Cancel(ctx context.Context, request kwid.RequestID, attempt kwid.Attempt) error {
	var out struct{}
	return c.post(ctx, PathCancel, CancelRequest{Request: request, Attempt: attempt}, &out)
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var out Load
	err := c.do(ctx, http.MethodGet, PathLoad, nil, &out)
	return out, err
}

// Info returns the model and layers that the engine holds, and its capacity.
func (c *Client) Info(ctx context.Context) (Info, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var out Info
	err := c.do(ctx, http.MethodGet, PathInfo, nil, &out)
	return out, err
}

// AssignLayers assigns a range of a model's layers to the engine.
func (c *Client) AssignLayers(ctx context.Context, in AssignLayersRequest) error {
	var out struct{}
	return c.post(ctx, PathOrder, in, &out)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
