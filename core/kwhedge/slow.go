package kwhedge

import (
	"maps"
	"time"

	"knapweedproxy/core/kwid"
)

const (
	// slowWeight is the weight of the newest latency in the mean of an endpoint, and maxSlowRatio bounds one latency in delays of its
	// class: it takes two slow answers of the last few to call an endpoint slow, since each has some.
	slowWeight   = 0.25
	maxSlowRatio = 2.0
	// usualRatio is what an endpoint without measured latencies counts as.
	usualRatio = 0.4
	// slowMaxAge is how long an endpoint is remembered after its last answer, so that it is tried again.
	slowMaxAge = 10 * time.Second
)

// slowEndpoints tells which endpoints usually take as long as a hedge waits: a second attempt there would be as slow as the first.
type slowEndpoints struct {
	means   map[kwid.EndpointID]endpointMean
	sweptAt time.Time
}

// endpointMean is the mean latency of an endpoint, in delays of the classes of its requests.
type endpointMean struct {
	ratio float64
	at    time.Time
}

func (s *slowEndpoints) record(now time.Time, id kwid.EndpointID, latency, delay time.Duration) {
	if now.Sub(s.sweptAt) >= slowMaxAge {
		s.sweptAt = now
		maps.DeleteFunc(s.means, func(_ kwid.EndpointID, m endpointMean) bool { return now.Sub(m.at) >= slowMaxAge })
	}
	m, ok := s.means[id]
	if !ok {
		m.ratio = usualRatio
	}
	m.ratio += slowWeight * (min(maxSlowRatio, float64(latency)/float64(delay)) - m.ratio)
	m.at = now
	s.means[id] = m
}

func (s *slowEndpoints) slow(now time.Time, id kwid.EndpointID) bool {
	m, ok := s.means[id]
	return ok && m.ratio >= 1 && now.Sub(m.at) < slowMaxAge
}
