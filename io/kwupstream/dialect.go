package kwupstream

import (
	"net/http"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
)

// RequestMeta holds what the headers of a caller's request say.
type RequestMeta struct {
	ID kwid.RequestID
	// Credential is the caller's key, empty if it sent none.
	Credential string
	// Timeout is how long the caller waits for the response, 0 if unspecified.
	Timeout time.Duration
	// PromptTokens and MaxAnswerTokens bound the size of a generation; EstimatedAnswerTokens is the caller's estimate of
	// the length of the answer.
	PromptTokens          int
	MaxAnswerTokens       int
	EstimatedAnswerTokens int
	// LastEventID is the ID of the last event that the caller received, if it resumes a stream.
	LastEventID string
	// SharedParts are the parts of the prompt that other requests may have too: all but the last, which belongs to the request or its
	// session.
	SharedParts []kwid.PromptPartID
}

// ForwardMeta holds what this system adds to the headers of a request that it forwards to an endpoint.
type ForwardMeta struct {
	// Timeout is how long the caller still waits for the response.
	Timeout   time.Duration
	Endpoint  kwid.EndpointID
	Workspace kwid.WorkspaceName
	Chain     *kwchainsearch.Chain
	// LastEventID is the ID of the last event that the caller received, if the stream is resumed.
	LastEventID string
	// Priority is the rank at which engines admit the request, from 0 for the most urgent to kwqueue.LowestEnginePriority.
	Priority int
}

// ResponseMeta holds what the headers of an endpoint's response say about the request and the endpoint.
type ResponseMeta struct {
	ID kwid.RequestID
	// Signed means that the response bears the signature of the endpoint that has run the request.
	Signed bool
	// NotRun means that the endpoint guarantees that it did not execute the request.
	NotRun bool
	// FailedAddress is the address of the endpoint that failed in a chain, if the response names one.
	FailedAddress string
	// InFlight is how many requests the endpoint executes and queues, -1 if unspecified.
	InFlight int
	// Leaving means that the endpoint that answers drains before a planned stop.
	Leaving bool
	// RetryAfter is for how long the endpoint that turned the request away wants none, 0 if unspecified.
	RetryAfter time.Duration
	// OddRetryAfter is what the response says of that if it could not be followed as it stands: it was ignored or bounded.
	OddRetryAfter string
	// Limit is what the response says of how many requests a second its endpoint takes from all entries together.
	Limit kwendpointlimit.Notice
	// OddLimit is what the response says of that if it could not be followed as it stands: it was ignored or bounded.
	OddLimit string
}

// Dialect reads and writes the headers that a platform's callers and endpoints use.
type Dialect interface {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest(h http.Header) RequestMeta
	// WriteRequest adds meta to the headers of a request that is forwarded to an endpoint.
	WriteRequest(h http.Header, meta ForwardMeta)
	// ReadResponse reads the status and the headers of an endpoint's response.
	ReadResponse(status int, h http.Header) ResponseMeta
	// WriteRetryAfter tells a rejected caller when to retry.
	WriteRetryAfter(h http.Header, after time.Duration)
}
