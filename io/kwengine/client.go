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

// Config names the engine; URL is its base URL with an IP number.
type Config struct {
	BaseURL string
	// OnMismatchedReply is told of an answer that belongs to another step.
	OnMismatchedReply func(request kwid.RequestID)
}

// Client talks to one engine; it is safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	steps *kwcorrelate.Matcher[StepReply]
}

const (
	maxIdle      = 256
	maxBody      = 32 << 20
	loadTimeout  = time.Second
	crossedTries = 3
	crossedWait  = 500 * time.Millisecond
)

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.OnMismatchedReply == nil {
		cfg.OnMismatchedReply = func(kwid.RequestID) {}
	}
	return &Client{
		cfg:   cfg,
		steps: kwcorrelate.New[StepReply](),
		http: &http.Client{
			Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: maxIdle, MaxIdleConns: maxIdle},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// post sends a JSON request; status 0 means that the engine did not answer.
func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return kwcode.New(kwcode.EngineFailed, "encode: %v", err)
	}
	return c.do(ctx, http.MethodPost, path, body, out)
}

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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return kwcode.New(kwcode.EngineFailed, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return kwcode.New(kwcode.EngineFailed, "decode: %v", err)
	}
	return nil
}

func refusal(status int, data []byte) error {
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

// Step runs one step and returns the reply that names it. A reply that names another step is handed to the
// step's owner; the engine answers a repeated step from its last result, so asking again runs nothing twice.
func (c *Client) Step(ctx context.Context, in StepRequest) (StepReply, error) {
	key := stepKey(in.Request, in.Attempt, in.Position)
	var last error
	for range crossedTries {
		reply, err := c.stepOnce(ctx, key, in)
		if err == nil || !kwcode.Is(err, kwcode.StepTimeout) {
			return reply, err
		}
		last = err
	}
	return StepReply{}, last
}

func (c *Client) stepOnce(ctx context.Context, key string, in StepRequest) (StepReply, error) {
	mine, forget := c.steps.Expect(key)
	defer forget()
	failed := make(chan error, 1)
	crossed := make(chan struct{})
	go c.exchange(ctx, key, in, failed, crossed)
	var late <-chan time.Time
	for {
		select {
		case reply := <-mine:
			return reply, nil
		case err := <-failed:
			return StepReply{}, err
		case <-crossed:
			crossed = nil
			late = time.After(crossedWait)
		case <-late:
			return StepReply{}, kwcode.New(kwcode.StepTimeout, "the engine's answer went to another step")
		}
	}
}

// exchange posts a step and hands the answer to the step that it names, also after this step has got its own.
func (c *Client) exchange(ctx context.Context, key string, in StepRequest, failed chan<- error, crossed chan<- struct{}) {
	var reply StepReply
	if err := c.post(ctx, PathStep, in, &reply); err != nil {
		failed <- err
		return
	}
	owner := stepKey(reply.Request, reply.Attempt, reply.Position)
	if owner != key {
		c.cfg.OnMismatchedReply(reply.Request)
		close(crossed)
	}
	c.steps.Deliver(owner, reply)
}

// Tokenize returns the tokens of a text.
func (c *Client) Tokenize(ctx context.Context, text string) ([]kwid.Token, error) {
	var out TokenizeReply
	err := c.post(ctx, PathTokenize, TokenizeRequest{Text: text}, &out)
	return out.Tokens, err
}

// Cancel drops the engine's memory of an attempt.
func (c *Client) Cancel(ctx context.Context, request kwid.RequestID, attempt kwid.Attempt) error {
	var out struct{}
	return c.post(ctx, PathCancel, CancelRequest{Request: request, Attempt: attempt}, &out)
}

// Load returns the engine's newest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var out Load
	err := c.do(ctx, http.MethodGet, PathLoad, nil, &out)
	return out, err
}

// Info returns what the engine holds.
func (c *Client) Info(ctx context.Context) (Info, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var out Info
	err := c.do(ctx, http.MethodGet, PathInfo, nil, &out)
	return out, err
}

// AssignLayers gives the engine an order.
func (c *Client) AssignLayers(ctx context.Context, in AssignLayersRequest) error {
	var out struct{}
	return c.post(ctx, PathOrder, in, &out)
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
