package kwupstream

import (
	"net/http"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

// Call is what a caller's headers say of a request.
type Call struct {
	ID kwid.RequestID
	// Credential is the caller's key, empty if it sent none.
	Credential string
	// Deadline is how long the caller waits, 0 if it does not say.
	Deadline time.Duration
	// PromptTokens and MaxAnswerTokens bound the size of a generation; AnswerHint is the caller's estimate.
	PromptTokens    int
	MaxAnswerTokens int
	AnswerHint      int
	// LastEvent is the id of the last event that a caller has of a stream that it resumes.
	LastEvent string
}

// Outgoing is what this system adds to a request for an endpoint.
type Outgoing struct {
	Left      time.Duration
	Endpoint  kwid.EndpointID
	Workspace kwid.WorkspaceName
	Chain     *kwchainsearch.Chain
	LastEvent string
}

// Answer is what the headers of an endpoint's answer say beside their content.
type Answer struct {
	ID kwid.RequestID
	// NotRun means that the endpoint promises not to have run the request.
	NotRun bool
	// FaultAt is the address of the endpoint of a chain that could not take its part, if named.
	FaultAt string
	// Busy is how many requests the endpoint runs and holds, -1 if it does not say.
	Busy int
}

// Dialect translates between headers and what they mean.
type Dialect interface {
	ReadCall(h http.Header) Call
	WriteCall(h http.Header, out Outgoing)
	ReadAnswer(status int, h http.Header) Answer
	// WriteRetry tells a rejected caller when to come back.
	WriteRetry(h http.Header, after time.Duration)
}
