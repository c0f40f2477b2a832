package kwdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwagententry"
	"knapweedproxy/io/kwcontrol"
)

// Client sends requests to one entry.
type Client struct {
	URL   string
	Token string
	// Timeout is sent as the request timeout; 0 means the default of the declaration.
	Timeout time.Duration
	// OnToken, if not nil, is called for each streamed token.
	OnToken func(text string)
}

// Answer is the response to a request, with the latencies that the client measured.
type Answer struct {
	Status       int
	Text         string
	FinishReason string
	// Done reports whether the answer is complete; for a stream, whether it ended with the end marker.
	Done             bool
	Error            *kwcontrol.ErrorDetail
	Headers          http.Header
	Body             []byte
	Tokens           int
	TimeToFirstToken time.Duration
	TokenGaps        []time.Duration
	Duration         time.Duration
}

// Chat sends a chat completion request; stream selects server-sent events.
func (c Client) Chat(ctx context.Context, prompt string, maxTokens int, stream bool) (Answer, error) {
	body, err := json.Marshal(kwagententry.ChatRequest{
		Model:     ModelName,
		Messages:  []kwagententry.ChatMessage{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	if err != nil {
		return Answer{}, kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	start := time.Now()
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", "", body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	out := Answer{Status: resp.StatusCode, Headers: resp.Header}
	if stream && resp.StatusCode == http.StatusOK {
		err = c.readStream(resp.Body, start, &out)
	} else {
		err = readReply(resp.Body, &out)
	}
	out.Duration = time.Since(start)
	return out, err
}

// RenderPrompt returns the text that the first stage receives for a prompt passed to Chat.
func RenderPrompt(prompt string) string {
	return kwagententry.RenderPrompt([]kwagententry.ChatMessage{{Role: "user", Content: prompt}})
}

func (c Client) send(ctx context.Context, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	if c.Timeout > 0 {
		req.Header.Set(kwagententry.HeaderTimeout, c.Timeout.String())
	}
	if key != "" {
		req.Header.Set(kwagententry.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	return resp, nil
}

// streamEnd is the data of the event that ends a complete stream.
const streamEnd = "[DONE]"

// streamEvent is the data of a server-sent event: a part of the answer or an error.
type streamEvent struct {
	kwagententry.ChatReply
	Error *kwcontrol.ErrorDetail `json:"error"`
}

func (c Client) readStream(r io.Reader, start time.Time, out *Answer) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, kwagententry.MaxBodyBytes)
	var text strings.Builder
	lastToken := start
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == streamEnd {
			out.Done = true
			continue
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return kwcode.New(kwcode.FrameMalformed, "%v", err)
		}
		c.handleEvent(event, &text, &lastToken, start, out)
	}
	out.Text = text.String()
	if err := scanner.Err(); err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	return nil
}

// handleEvent adds an event of the stream to the answer.
func (c Client) handleEvent(event streamEvent, text *strings.Builder, lastToken *time.Time, start time.Time, out *Answer) {
	if event.Error != nil {
		out.Error = event.Error
		return
	}
	if len(event.Choices) == 0 {
		return
	}
	choice := event.Choices[0]
	if choice.FinishReason != nil {
		out.FinishReason = *choice.FinishReason
		return
	}
	now := time.Now()
	if out.Tokens == 0 {
		out.TimeToFirstToken = now.Sub(start)
	} else {
		out.TokenGaps = append(out.TokenGaps, now.Sub(*lastToken))
	}
	*lastToken = now
	out.Tokens++
	text.WriteString(choice.Delta.Content)
	if c.OnToken != nil {
		c.OnToken(choice.Delta.Content)
	}
}

// readReply reads a reply that is not streamed; one that is not JSON is kept in Body alone.
func readReply(r io.Reader, out *Answer) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	out.Body = body
	var reply struct {
		kwagententry.ChatReply
		Error *kwcontrol.ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil
	}
	out.Error = reply.Error
	if len(reply.Choices) == 1 && reply.Choices[0].Message != nil {
		out.Text = reply.Choices[0].Message.Content
		out.FinishReason = *reply.Choices[0].FinishReason
		out.Done = true
	}
	return nil
}

// CallService calls the records service; an empty key means no idempotency key.
func (c Client) CallService(ctx context.Context, method, path, key, body string) (Answer, error) {
	start := time.Now()
	resp, err := c.send(ctx, method, "/services/"+string(ServiceName)+path, key, []byte(body))
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	out := Answer{Status: resp.StatusCode, Headers: resp.Header}
	err = readReply(resp.Body, &out)
	out.Duration = time.Since(start)
	return out, err
}
