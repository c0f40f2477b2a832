package kwendpointlimit

// Rate is a number of requests a second.
type Rate float64

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
	Kind NoticeKind
	// Rate is set if Kind is Limited.
	Rate Rate
}
