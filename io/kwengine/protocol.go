package kwengine

import (
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwsiteconfig"
)

// Paths of the engine's HTTP interface.
const (
	PathInfo     = "/v1/info"
	PathTokenize = "/v1/tokenize"
	PathStep     = "/v1/step"
	PathCancel   = "/v1/cancel"
	PathLoad     = "/v1/load"
	PathOrder    = "/v1/order"
	PathCounts   = "/v1/counts"
	PathFaults   = "/v1/faults"
)

// Info describes the model layers that an engine holds, and its capacity.
type Info struct {
	Model            kwid.ModelName  `json:"model"`
	Layers           kwid.LayerRange `json:"layers"`
	LastStage        bool            `json:"last"`
	KVCapacityTokens int             `json:"kv-tokens"`
	TokenRate        float64         `json:"rate-tokens-per-second"`
}

// TokenizeRequest asks for the tokens of a text.
type TokenizeRequest struct {
	Text string `json:"text"`
}

// TokenizeReply answers a TokenizeRequest.
type TokenizeReply struct {
	Tokens []kwid.Token `json:"tokens"`
}

// StepRequest runs the engine's layers on tokens that start at Position. The first stage gets Tokens; later stages get
// HiddenStates, one value per token, as input of Layer.
type StepRequest struct {
	Request      kwid.RequestID        `json:"request"`
	Attempt      kwid.Attempt          `json:"attempt"`
	Position     kwid.Position         `json:"position"`
	Layer        kwid.Layer            `json:"layer"`
	Tokens       []kwid.Token          `json:"tokens,omitempty"`
	HiddenStates []uint64              `json:"hidden,omitempty"`
	Priority     kwsiteconfig.Priority `json:"priority"`
}

// StepReply names the step that it answers. The last stage returns the next token, other stages return HiddenStates.
type StepReply struct {
	Request      kwid.RequestID `json:"request"`
	Attempt      kwid.Attempt   `json:"attempt"`
	Position     kwid.Position  `json:"position"`
	HiddenStates []uint64       `json:"hidden,omitempty"`
	Token        kwid.Token     `json:"token,omitempty"`
	Text         string         `json:"text,omitempty"`
	Stop         bool           `json:"stop,omitempty"`
}

// CancelRequest frees the KV cache of an attempt.
type CancelRequest struct {
	Request kwid.RequestID `json:"request"`
	Attempt kwid.Attempt   `json:"attempt"`
}

// Load is an engine's load report; it may be out of date.
type Load struct {
	QueueLength      int    `json:"queue"`
	KVUsedTokens     int    `json:"kv-used-tokens"`
	KVCapacityTokens int    `json:"kv-tokens"`
	Iterations       uint64 `json:"iterations"`
}

// AssignLayersRequest assigns a range of layers to an engine. Engines that check the fencing token reject one that is
// older than the latest they know.
type AssignLayersRequest struct {
	FencingToken kwid.FencingToken `json:"fence"`
	Model        kwid.ModelName    `json:"model"`
	Layers       kwid.LayerRange   `json:"layers"`
}

// ErrorReply is the body of a reply with an error status.
type ErrorReply struct {
	Error string `json:"error"`
}
