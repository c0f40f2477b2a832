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
// which suffices for a failure without an ID, but not for a success: it may be a page that is no answer at all.
func (h Head) Belongs(request kwid.RequestID, used bool) Ownership {
	switch {
	case h.ID == "" && used, h.ID != "" && h.ID != request:
		return Foreign
	case h.Status >= http.StatusBadRequest:
		return Own
	case h.ID == "" || h.Encoded:
		return Unproven
	case h.Status < http.StatusMultipleChoices && !h.Signed:
		return Unproven
	}
	return Own
}
