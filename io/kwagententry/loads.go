package kwagententry

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwretry"
)

// renewalTimes holds when the latest view renewals were requested, as time since the start of the entry.
type renewalTimes struct {
	mu       sync.Mutex
	byNumber map[uint64]time.Duration
}

func newRenewalTimes() *renewalTimes {
	return &renewalTimes{byNumber: make(map[uint64]time.Duration)}
}

// maxRenewals is how many renewals are remembered.
const maxRenewals = 64

func (t *renewalTimes) record(number uint64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byNumber[number] = at
	delete(t.byNumber, number-maxRenewals)
}

func (t *renewalTimes) lookup(number uint64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.byNumber[number]
	return at, ok
}

// endpointLoads estimates the requests at each endpoint from control's last report and the requests that this entry has
// started or ended since.
type endpointLoads struct {
	mu         sync.Mutex
	byEndpoint map[kwid.EndpointID]loadRow
}

// loadRow is the load of one endpoint; ownAtReport is the value of ownRequests at the time of the last report.
type loadRow struct {
	ownRequests float64
	ownAtReport float64
	reported    float64
}

func newEndpointLoads() *endpointLoads {
	return &endpointLoads{byEndpoint: make(map[kwid.EndpointID]loadRow)}
}

// add changes the number of this entry's requests at an endpoint by n.
func (l *endpointLoads) add(id kwid.EndpointID, n float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.byEndpoint[id]
	row.ownRequests += n
	l.byEndpoint[id] = row
}

// applyReport stores the load table of control; ids are in the table's order. A table of another length belongs to
// another view and is ignored.
func (l *endpointLoads) applyReport(ids []kwid.EndpointID, table []byte) {
	if len(ids) != len(table) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, id := range ids {
		row := l.byEndpoint[id]
		row.reported = kwmaxflow.DequantizeLoad(table[i])
		row.ownAtReport = row.ownRequests
		l.byEndpoint[id] = row
	}
}

// estimate returns the estimated requests at an endpoint; it is never below this entry's own.
func (l *endpointLoads) estimate(id kwid.EndpointID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.byEndpoint[id]
	return max(row.ownRequests, row.reported+row.ownRequests-row.ownAtReport)
}

// endpointStatus is the state of the endpoints as one request sees it: load estimates, ejections and the endpoints that
// failed the request.
type endpointStatus struct {
	loads   *endpointLoads
	ejector *kwretry.Ejector
	now     time.Time
	failed  map[kwid.EndpointID]bool
}

// Outstanding returns the estimated requests in progress at an endpoint.
func (s endpointStatus) Outstanding(id kwid.EndpointID) float64 { return s.loads.estimate(id) }

// Excluded reports whether the endpoint failed this request or is ejected.
func (s endpointStatus) Excluded(id kwid.EndpointID) bool {
	return s.failed[id] || s.ejector.Ejected(s.now, id)
}

// ignoreEjections also admits ejected endpoints; it is the fallback when no other endpoint is left.
type ignoreEjections struct {
	endpointStatus
}

// Excluded reports whether the endpoint failed this request.
func (s ignoreEjections) Excluded(id kwid.EndpointID) bool { return s.failed[id] }
