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

// Info is what an engine holds.
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

// StepRequest runs the engine's layers on tokens that start at Position. The first stage takes Tokens, later
// stages take Hidden, one value a token.
type StepRequest struct {
	Request      kwid.RequestID        `json:"request"`
	Attempt      kwid.Attempt          `json:"attempt"`
	Position     kwid.Position         `json:"position"`
	Layer        kwid.Layer            `json:"layer"`
	Tokens       []kwid.Token          `json:"tokens,omitempty"`
	HiddenStates []uint64              `json:"hidden,omitempty"`
	Priority     kwsiteconfig.Priority `json:"priority"`
}

// StepReply names the step it answers; the last stage gives a token, other stages give Hidden.
type StepReply struct {
	Request      kwid.RequestID `json:"request"`
	Attempt      kwid.Attempt   `json:"attempt"`
	Position     kwid.Position  `json:"position"`
	HiddenStates []uint64       `json:"hidden,omitempty"`
	Token        kwid.Token     `json:"token,omitempty"`
	Text         string         `json:"text,omitempty"`
	Stop         bool           `json:"stop,omitempty"`
}

// CancelRequest drops the engine's memory of an attempt.
type CancelRequest struct {
	Request kwid.RequestID `json:"request"`
	Attempt kwid.Attempt   `json:"attempt"`
}

// Load is an engine's report of its work; it lags behind.
type Load struct {
	QueueLength      int    `json:"queue"`
	KVUsedTokens     int    `json:"kv-used-tokens"`
	KVCapacityTokens int    `json:"kv-tokens"`
	Iterations       uint64 `json:"iterations"`
}

// AssignLayersRequest tells an engine to hold other layers; engines that check refuse an old Fence.
type AssignLayersRequest struct {
	FencingToken kwid.FencingToken `json:"fence"`
	Model        kwid.ModelName    `json:"model"`
	Layers       kwid.LayerRange   `json:"layers"`
}

// ErrorReply is the body of a refused request.
type ErrorReply struct {
	Error string `json:"error"`
}
