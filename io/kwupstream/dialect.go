package kwupstream

import (
	"net/http"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

// RequestMeta is what a caller's headers say of a request.
type RequestMeta struct {
	ID kwid.RequestID
	// Credential is the caller's key, empty if it sent none.
	Credential string
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout time.Duration
	// PromptTokens and MaxAnswerTokens bound the size of a generation; AnswerHint is the caller's estimate.
	PromptTokens          int
	MaxAnswerTokens       int
	EstimatedAnswerTokens int
	// LastEventID is the id of the last event that a caller has of a stream that it resumes.
	LastEventID string
}

// ForwardMeta is what this system adds to a request for an endpoint.
type ForwardMeta struct {
	Timeout     time.Duration
	Endpoint    kwid.EndpointID
	Workspace   kwid.WorkspaceName
	Chain       *kwchainsearch.Chain
	LastEventID string
}

// ResponseMeta is what the headers of an endpoint's answer say beside their content.
type ResponseMeta struct {
	ID kwid.RequestID
	// NotRun means that the endpoint promises not to have run the request.
	NotRun bool
	// FailedAddress is the address of the endpoint of a chain that could not take its part, if named.
	FailedAddress string
	// InFlight is how many requests the endpoint runs and holds, -1 if it does not say.
	InFlight int
}

// Dialect translates between headers and what they mean.
type Dialect interface {
	ReadRequest(h http.Header) RequestMeta
	WriteRequest(h http.Header, out ForwardMeta)
	ReadResponse(status int, h http.Header) ResponseMeta
	// WriteRetryAfter tells a rejected caller when to come back.
	WriteRetryAfter(h http.Header, after time.Duration)
}
