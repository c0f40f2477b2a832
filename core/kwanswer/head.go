package kwanswer

import (
	"net/http"

	"knapweedproxy/core/kwid"
)

// Head is what the head of an answer says. Servers in trouble send pages of their own or of another program, copies of earlier answers, and
// answers that lack what every sound one has.
type Head struct {
	Status int
	// ID is the request that the answer names, empty if it names none.
	ID kwid.RequestID
	// Signed means that the answer bears the signature of the endpoint that has run the request.
	Signed bool
	// NotRun means that the endpoint promises that it has not run the request.
	NotRun bool
	// Encoded means that the body has an encoding. Callers ask for none.
	Encoded bool
}

// Ownership says to which request an answer belongs.
type Ownership uint8

const (
	// Own means that the answer belongs to the request.
	Own Ownership = iota
	// Foreign means that it belongs to another request; the one to this request may follow.
	Foreign
	// Unproven means that nothing shows what the answer belongs to. No other one follows.
	Unproven
)

// Belongs returns the ownership of an answer that arrives after a request was sent; used means that the connection has carried requests
// before. Endpoints echo the ID of a request, and sign what they have run. On a new connection only the request can have caused an answer,
// which suffices for a failure without an ID, but not for a success: it may be a page that is no answer at all. A success that promises not
// to have run contradicts itself.
func (h Head) Belongs(request kwid.RequestID, used bool) Ownership {
	switch {
	case h.ID == "" && used, h.ID != "" && h.ID != request:
		return Foreign
	case h.Status >= http.StatusBadRequest:
		return Own
	case h.ID == "" || h.Encoded || h.NotRun:
		return Unproven
	case h.Status < http.StatusMultipleChoices && !h.Signed:
		return Unproven
	}
	return Own
}

// Outcome says what an answer that belongs to a request tells its caller.
type Outcome uint8

const (
	// Answered means that the answer is final and passed on.
	Answered Outcome = iota
	// Failed means that it is passed on unless another attempt brings a better one.
	Failed
	// Refused means that the endpoint has not run the request and never will.
	Refused
	// Misleading means that the request may have run, but that callers would take the answer for more than the endpoint has said: it is not
	// passed on.
	Misleading
)

// Outcome returns the outcome of an own answer to a request, which is repeatable if it may run more than once. Callers read some statuses
// as a promise that their request has not run and never will, so such a status is passed on without that promise of the endpoint only where
// the promise does not matter. A failure without an ID may be that of another program.
func (h Head) Outcome(repeatable bool) Outcome {
	switch {
	case h.NotRun:
		return Refused
	case h.ID == "", !repeatable && impliesNotRun(h.Status):
		return Misleading
	case h.Status >= http.StatusInternalServerError:
		return Failed
	}
	return Answered
}

// impliesNotRun reports whether callers read a status as a promise that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
