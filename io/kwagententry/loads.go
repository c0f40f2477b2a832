package kwagententry

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwretry"
)

// sentTimes remembers when confirmation requests were sent, since the entry's start.
type sentTimes struct {
	mu   sync.Mutex
	last map[uint64]time.Duration
}

func newSentTimes() *sentTimes {
	return &sentTimes{last: make(map[uint64]time.Duration)}
}

const maxSent = 64

func (s *sentTimes) put(number uint64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[number] = at
	delete(s.last, number-maxSent)
}

func (s *sentTimes) take(number uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.last[number]
	return at, ok
}

// loads estimates the requests at each endpoint: the last report and what this entry has added since.
type loads struct {
	mu   sync.Mutex
	rows map[kwid.EndpointID]loadRow
}

type loadRow struct {
	own      float64
	base     float64
	reported float64
}

func newLoads() *loads {
	return &loads{rows: make(map[kwid.EndpointID]loadRow)}
}

// add counts requests of this entry at an endpoint.
func (l *loads) add(id kwid.EndpointID, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[id]
	row.own += n
	l.rows[id] = row
}

// report takes the load table of control; ids are in the table's order.
func (l *loads) report(ids []kwid.EndpointID, table []byte) {
	if len(ids) != len(table) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, id := range ids {
		row := l.rows[id]
		row.reported = kwmaxflow.DequantiseLoad(table[i])
		row.base = row.own
		l.rows[id] = row
	}
}

func (l *loads) get(id kwid.EndpointID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[id]
	return max(row.own, row.reported+row.own-row.base)
}

// requestLoads is what one request knows: the entry's counts, ejections and the endpoints that failed it.
type requestLoads struct {
	loads   *loads
	ejector *kwretry.Ejector
	now     time.Time
	failed  map[kwid.EndpointID]bool
}

// Outstanding returns this entry's requests at an endpoint.
func (q requestLoads) Outstanding(id kwid.EndpointID) float64 { return q.loads.get(id) }

// Excluded tells whether the endpoint failed this request or is ejected.
func (q requestLoads) Excluded(id kwid.EndpointID) bool {
	return q.failed[id] || q.ejector.Ejected(q.now, id)
}

// onlyFailed excludes what failed this request and admits ejected endpoints, when nothing else is left.
type onlyFailed struct {
	requestLoads
}

// Excluded tells whether the endpoint failed this request.
func (q onlyFailed) Excluded(id kwid.EndpointID) bool { return q.failed[id] }
