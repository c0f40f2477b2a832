package kwagententry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlimit"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwevent"
)

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat-completions request; sampling fields are accepted and not used.
type ChatRequest struct {
	Model               kwid.ModelName `json:"model"`
	Messages            []ChatMessage  `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
}

// ChatChoice is one answer; Delta is set in streams, Message otherwise.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatDelta is the next part of a streamed answer.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatUsage counts tokens.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatReply is the answer to a chat-completions request, or one chunk of it.
type ChatReply struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   kwid.ModelName `json:"model"`
	Choices []ChatChoice   `json:"choices"`
	Usage   *ChatUsage     `json:"usage,omitempty"`
}

const (
	defaultMaxTokens = 64
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
)

// RenderPrompt renders a conversation as the text that the first stage tokenizes.
func RenderPrompt(messages []ChatMessage) string {
	var out strings.Builder
	for _, m := range messages {
		out.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return out.String()
}

func readBody(c *gin.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kwcode.New(kwcode.BodyTooLarge, "limit %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	return body, nil
}

func (r *Role) parseChat(c *gin.Context) (ChatRequest, kwsiteconfig.Model, error) {
	var in ChatRequest
	var model kwsiteconfig.Model
	body, err := readBody(c)
	if err != nil {
		return in, model, err
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return in, model, kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	model, ok := r.view.Load().fleet.Model(in.Model)
	if !ok {
		return in, model, kwcode.New(kwcode.UnknownModel, "model %q", in.Model)
	}
	if strings.TrimSpace(joinContent(in.Messages)) == "" {
		return in, model, kwcode.New(kwcode.MalformedRequest, "messages: want at least one message with content")
	}
	if in.MaxTokens == 0 {
		in.MaxTokens = in.MaxCompletionTokens
	}
	if in.MaxTokens == 0 {
		in.MaxTokens = min(defaultMaxTokens, model.MaxTokens)
	}
	if in.MaxTokens < 1 || in.MaxTokens > model.MaxTokens {
		return in, model, kwcode.New(kwcode.MalformedRequest, "max_tokens: want 1 to %d, got %d", model.MaxTokens, in.MaxTokens)
	}
	return in, model, nil
}

func joinContent(messages []ChatMessage) string {
	var out strings.Builder
	for _, m := range messages {
		out.WriteString(m.Content)
	}
	return out.String()
}

func (r *Role) onChat(c *gin.Context) {
	request := newRequest(c)
	w := workspaceOf(c)
	in, model, err := r.parseChat(c)
	if err != nil {
		r.refuse(c, request, err)
		return
	}
	check := func(limit time.Duration) error { return r.checkDeadline(model, in.MaxTokens, limit) }
	a, err := r.admit(c, request, model.RequestTimeout.Std(), check)
	if err != nil {
		r.refuse(c, request, err)
		return
	}
	defer a.end()
	r.generate(c, a, in, model, w)
}

// generate runs an admitted request and writes its answer.
func (r *Role) generate(c *gin.Context, a *admission, in ChatRequest, model kwsiteconfig.Model, w kwsiteconfig.Workspace) {
	request := a.request
	out := newChatWriter(c, request, in)
	g := &generation{
		role:      r,
		request:   request,
		model:     model,
		prompt:    RenderPrompt(in.Messages),
		maxTokens: in.MaxTokens,
		priority:  w.Priority,
		emit:      out.token,
		start:     a.start,
	}
	if err := g.run(a.ctx); err != nil {
		r.failChat(c, request, out, err)
		return
	}
	out.finish(g)
	r.forecast.of(model.Name).Observe(time.Now(), g.first, time.Since(a.start), len(g.tokens))
	r.observe("chat.request", time.Since(a.start))
	r.count("chat.tokens", int64(len(g.tokens)))
	r.deps.Events.Emit(kwevent.RequestAnswered, request, kwevent.F("tokens", len(g.tokens)), kwevent.F("attempts", g.attempt))
}

// checkDeadline refuses a request at once if recent answers say that its deadline cannot be met.
func (r *Role) checkDeadline(model kwsiteconfig.Model, maxTokens int, limit time.Duration) error {
	estimate, ok := r.forecast.of(model.Name).Estimate(time.Now(), maxTokens)
	if !ok || estimate <= limit {
		return nil
	}
	refusal := kwcode.New(kwcode.DeadlineTooShort, "answers take about %s now, the deadline is %s", estimate.Round(time.Millisecond), limit)
	return refusal.After(min(max(estimate-limit, time.Second), maxComeBack))
}

// maxComeBack bounds the time after which a refused caller is asked to come back.
const maxComeBack = 30 * time.Second

// forecasts holds a forecast for each model.
type forecasts struct {
	mu   sync.Mutex
	rows map[kwid.ModelName]*kwlimit.Forecast
}

func (f *forecasts) of(name kwid.ModelName) *kwlimit.Forecast {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows == nil {
		f.rows = make(map[kwid.ModelName]*kwlimit.Forecast)
	}
	row, ok := f.rows[name]
	if !ok {
		row = kwlimit.NewForecast()
		f.rows[name] = row
	}
	return row
}

// failChat answers with an error; a stream that has begun ends with an error event and without the end mark.
func (r *Role) failChat(c *gin.Context, request kwid.RequestID, out *chatWriter, err error) {
	if !out.begun {
		r.refuse(c, request, err)
		return
	}
	coded := kwcode.FromError(err)
	r.deps.Events.Emit(kwevent.RequestFailed, request, kwevent.F("error", coded.Error()))
	r.count("chat.cut", 1)
	out.event(errorBody(coded))
}

// chatWriter writes an answer as one JSON body or as server-sent events.
type chatWriter struct {
	c      *gin.Context
	stream bool
	begun  bool
	reply  ChatReply
	text   strings.Builder
}

func newChatWriter(c *gin.Context, request kwid.RequestID, in ChatRequest) *chatWriter {
	out := &chatWriter{c: c, stream: in.Stream}
	out.reply = ChatReply{
		ID:      "chatcmpl-" + string(request),
		Object:  objectCompletion,
		Created: time.Now().Unix(),
		Model:   in.Model,
	}
	if in.Stream {
		out.reply.Object = objectChunk
	}
	return out
}

// token takes the next part of the answer.
func (w *chatWriter) token(text string) {
	w.text.WriteString(text)
	if !w.stream {
		return
	}
	delta := &ChatDelta{Content: text}
	if !w.begun {
		w.begin()
		delta.Role = roleAssistant
	}
	w.chunk(ChatChoice{Delta: delta})
}

func (w *chatWriter) begin() {
	w.begun = true
	h := w.c.Writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.c.Status(http.StatusOK)
}

func (w *chatWriter) chunk(choice ChatChoice) {
	reply := w.reply
	reply.Choices = []ChatChoice{choice}
	w.event(reply)
}

func (w *chatWriter) event(body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = w.c.Writer.Write([]byte("data: " + string(data) + "\n\n"))
	w.c.Writer.Flush()
}

// finish ends the answer: a stream with its finish reason and end mark, or the whole body.
func (w *chatWriter) finish(g *generation) {
	reason := "length"
	if g.stopped {
		reason = "stop"
	}
	w.reply.Usage = &ChatUsage{
		PromptTokens:     g.promptTokens,
		CompletionTokens: len(g.tokens),
		TotalTokens:      g.promptTokens + len(g.tokens),
	}
	if !w.stream {
		message := &ChatMessage{Role: roleAssistant, Content: w.text.String()}
		w.reply.Choices = []ChatChoice{{Message: message, FinishReason: &reason}}
		w.c.JSON(http.StatusOK, w.reply)
		return
	}
	if !w.begun {
		w.begin()
	}
	w.chunk(ChatChoice{Delta: &ChatDelta{}, FinishReason: &reason})
	_, _ = w.c.Writer.Write([]byte("data: [DONE]\n\n"))
	w.c.Writer.Flush()
}
