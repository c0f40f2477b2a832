package kwagententry

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlimit"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat-completions request; sampling parameters are accepted and ignored.
type ChatRequest struct {
	Model               kwid.ModelName `json:"model"`
	Messages            []ChatMessage  `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
}

// ChatChoice is one answer: Delta is set in streams, Message otherwise.
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

// ChatUsage is the token usage of an answer.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatReply is the answer to a chat-completions request, or one chunk of a streamed answer.
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

// buffersFullRetryAfter is the Retry-After time of a request whose body finds no memory: those of others have ended by then.
const buffersFullRetryAfter = time.Second

func readBody(c *gin.Context) ([]byte, error) {
	account := c.MustGet(contextKeyBuffer).(*kwbuffer.Account)
	body, err := kwupstream.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, MaxBodyBytes), c.Request.ContentLength, account)
	if kwcode.Is(err, kwcode.BuffersFull) {
		return nil, kwcode.FromError(err).After(buffersFullRetryAfter)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, kwcode.New(kwcode.BodyTimeout, "%v", err)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kwcode.New(kwcode.BodyTooLarge, "the request body is larger than %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	return body, nil
}

// parseChat validates the body of a chat-completions request and applies the token defaults of its model.
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
	workspace := workspaceOf(c)
	in, model, err := r.parseChat(c)
	if err != nil {
		r.writeError(c, request, err)
		return
	}
	checkTimeout := func(timeout time.Duration) error { return r.checkDeadline(model, in.MaxTokens, timeout) }
	adm, err := r.admit(c, request, model.RequestTimeout.Std(), checkTimeout)
	if err != nil {
		r.writeError(c, request, err)
		return
	}
	defer adm.end()
	r.serveChat(c, adm, in, model, workspace)
}

// serveChat runs an admitted request and writes its answer.
func (r *Role) serveChat(c *gin.Context, adm *admission, in ChatRequest, model kwsiteconfig.Model, workspace kwsiteconfig.Workspace) {
	request := adm.request
	writer := newChatWriter(c, request, in)
	gen := &generation{
		role:      r,
		request:   request,
		model:     model,
		prompt:    RenderPrompt(in.Messages),
		maxTokens: in.MaxTokens,
		priority:  workspace.Priority,
		onToken:   writer.writeToken,
		startedAt: adm.start,
	}
	if err := gen.run(adm.ctx); err != nil {
		r.writeChatError(c, request, writer, err)
		return
	}
	writer.finish(gen)
	r.forecasts.forModel(model.Name).Observe(time.Now(), gen.timeToFirstToken, time.Since(adm.start), len(gen.tokens))
	r.recordDuration("chat.request", time.Since(adm.start))
	r.addToCounter("chat.tokens", int64(len(gen.tokens)))
	r.deps.Events.Emit(kwevent.RequestAnswered, request, kwevent.F("tokens", len(gen.tokens)), kwevent.F("attempts", gen.attempt))
}

// checkDeadline rejects a request at once if recent answers indicate that its deadline cannot be met.
func (r *Role) checkDeadline(model kwsiteconfig.Model, maxTokens int, timeout time.Duration) error {
	estimate, ok := r.forecasts.forModel(model.Name).Estimate(time.Now(), maxTokens)
	if !ok || estimate <= timeout {
		return nil
	}
	err := kwcode.New(kwcode.DeadlineTooShort, "an answer takes about %s at present, the timeout is %s", estimate.Round(time.Millisecond), timeout)
	return err.After(min(max(estimate-timeout, time.Second), maxRetryAfter))
}

// maxRetryAfter bounds the Retry-After of a request that was rejected for its deadline.
const maxRetryAfter = 30 * time.Second

// forecasts holds an answer-time forecast for each model.
type forecasts struct {
	mu      sync.Mutex
	byModel map[kwid.ModelName]*kwlimit.Forecast
}

func (f *forecasts) forModel(name kwid.ModelName) *kwlimit.Forecast {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byModel == nil {
		f.byModel = make(map[kwid.ModelName]*kwlimit.Forecast)
	}
	forecast, ok := f.byModel[name]
	if !ok {
		forecast = kwlimit.NewForecast()
		f.byModel[name] = forecast
	}
	return forecast
}

// writeChatError answers with an error. A stream that has started gets an error event and no [DONE] marker.
func (r *Role) writeChatError(c *gin.Context, request kwid.RequestID, writer *chatWriter, err error) {
	if !writer.started {
		r.writeError(c, request, err)
		return
	}
	coded := kwcode.FromError(err)
	r.deps.Events.Emit(kwevent.RequestFailed, request, kwevent.F("error", coded.Error()))
	r.addToCounter("chat.cut", 1)
	writer.writeEvent(errorBody(coded))
}

// chatWriter writes an answer as one JSON body or as server-sent events.
type chatWriter struct {
	c       *gin.Context
	stream  bool
	started bool
	reply   ChatReply
	text    strings.Builder
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

// writeToken appends the text of the next token to the answer.
func (w *chatWriter) writeToken(text string) {
	w.text.WriteString(text)
	if !w.stream {
		return
	}
	delta := &ChatDelta{Content: text}
	if !w.started {
		w.startStream()
		delta.Role = roleAssistant
	}
	w.writeChunk(ChatChoice{Delta: delta})
}

func (w *chatWriter) startStream() {
	w.started = true
	h := w.c.Writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.c.Status(http.StatusOK)
}

func (w *chatWriter) writeChunk(choice ChatChoice) {
	reply := w.reply
	reply.Choices = []ChatChoice{choice}
	w.writeEvent(reply)
}

func (w *chatWriter) writeEvent(body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = w.c.Writer.Write([]byte("data: " + string(data) + "\n\n"))
	w.c.Writer.Flush()
}

// finish completes the answer: it ends a stream with the finish reason and the [DONE] marker, or writes the whole JSON
// body.
func (w *chatWriter) finish(gen *generation) {
	reason := "length"
	if gen.stopped {
		reason = "stop"
	}
	w.reply.Usage = &ChatUsage{
		PromptTokens:     gen.promptTokens,
		CompletionTokens: len(gen.tokens),
		TotalTokens:      gen.promptTokens + len(gen.tokens),
	}
	if !w.stream {
		message := &ChatMessage{Role: roleAssistant, Content: w.text.String()}
		w.reply.Choices = []ChatChoice{{Message: message, FinishReason: &reason}}
		w.c.JSON(http.StatusOK, w.reply)
		return
	}
	if !w.started {
		w.startStream()
	}
	w.writeChunk(ChatChoice{Delta: &ChatDelta{}, FinishReason: &reason})
	_, _ = w.c.Writer.Write([]byte("data: [DONE]\n\n"))
	w.c.Writer.Flush()
}
