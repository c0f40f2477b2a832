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

// Client is a caller of one entry.
type Client struct {
	URL   string
	Token string
	// Timeout is the caller's deadline; 0 leaves it to the declaration.
	Timeout time.Duration
	// OnToken is told of each streamed part, or nil.
	OnToken func(text string)
}

// Answer is what a caller got.
type Answer struct {
	Status           int
	Text             string
	FinishReason     string
	Done             bool
	Error            *kwcontrol.ErrorDetail
	Headers          http.Header
	Body             []byte
	Tokens           int
	TimeToFirstToken time.Duration
	TokenGaps        []time.Duration
	Duration         time.Duration
}

// Chat asks a model for an answer; stream chooses server-sent events.
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
		err = readWhole(resp.Body, &out)
	}
	out.Duration = time.Since(start)
	return out, err
}

// RenderPrompt returns the text that the first stage sees for a prompt of Chat.
func RenderPrompt(prompt string) string {
	return kwagententry.Prompt([]kwagententry.ChatMessage{{Role: "user", Content: prompt}})
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
		req.Header.Set(kwagententry.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	return resp, nil
}

const endMark = "[DONE]"

// chunk is a server-sent event: a part of the answer or an error.
type chunk struct {
	kwagententry.ChatReply
	Error *kwcontrol.ErrorDetail `json:"error"`
}

func (c Client) readStream(r io.Reader, start time.Time, out *Answer) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, kwagententry.MaxBody)
	var text strings.Builder
	last := start
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == endMark {
			out.Done = true
			continue
		}
		var part chunk
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return kwcode.New(kwcode.FrameMalformed, "%v", err)
		}
		c.takePart(part, &text, &last, start, out)
	}
	out.Text = text.String()
	if err := scan.Err(); err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	return nil
}

func (c Client) takePart(part chunk, text *strings.Builder, last *time.Time, start time.Time, out *Answer) {
	if part.Error != nil {
		out.Error = part.Error
		return
	}
	if len(part.Choices) == 0 {
		return
	}
	choice := part.Choices[0]
	if choice.FinishReason != nil {
		out.FinishReason = *choice.FinishReason
		return
	}
	now := time.Now()
	if out.Tokens == 0 {
		out.TimeToFirstToken = now.Sub(start)
	} else {
		out.TokenGaps = append(out.TokenGaps, now.Sub(*last))
	}
	*last = now
	out.Tokens++
	text.WriteString(choice.Delta.Content)
	if c.OnToken != nil {
		c.OnToken(choice.Delta.Content)
	}
}

func readWhole(r io.Reader, out *Answer) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	out.Body = body
	var part struct {
		kwagententry.ChatReply
		Error *kwcontrol.ErrorDetail `json:"error"`
	}
	if err := json.Unmarshal(body, &part); err != nil {
		return nil
	}
	out.Error = part.Error
	if len(part.Choices) == 1 && part.Choices[0].Message != nil {
		out.Text = part.Choices[0].Message.Content
		out.FinishReason = *part.Choices[0].FinishReason
		out.Done = true
	}
	return nil
}

// CallService calls the records service; key may be empty.
func (c Client) CallService(ctx context.Context, method, path, key, body string) (Answer, error) {
	start := time.Now()
	resp, err := c.send(ctx, method, "/services/"+string(ServiceName)+path, key, []byte(body))
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	out := Answer{Status: resp.StatusCode, Headers: resp.Header}
	err = readWhole(resp.Body, &out)
	out.Duration = time.Since(start)
	return out, err
}
