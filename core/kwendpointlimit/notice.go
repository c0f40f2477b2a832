package kwendpointlimit

import "time"

// Rate is a number of requests a second.
type Rate float64

// Time returns how long a number of requests takes at the rate.
func (r Rate) Time(requests int) time.Duration {
	if requests <= 0 {
		return 0
	}
	return time.Duration(min(float64(requests)/float64(r), maxTime.Seconds()) * float64(time.Second))
}

// maxTime bounds the times that low rates lead to.
const maxTime = time.Hour

// NoticeKind is what an answer says of the limit of its endpoint.
type NoticeKind uint8

const (
	// NoNews means that the answer says nothing that can be relied on, so that what was known stays.
	NoNews NoticeKind = iota
	// Unlimited means that the endpoint has no limit.
	Unlimited
	// Limited means that the endpoint takes as many requests as the rate of the notice.
	Limited
)

// Notice is what the head of an answer says of the limit of the endpoint that sent it.
type Notice struct {
	Kind NoticeKind `cbor:"1,keyasint"`
	// Rate is set if Kind is Limited.
	Rate Rate `cbor:"2,keyasint,omitempty"`
}
