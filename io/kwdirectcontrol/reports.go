package kwdirectcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
)

// requiredRefusalReports is how many entries must report that an endpoint refuses connections, since a single entry may
// be cut off itself. With fewer live entries, a report of each suffices.
const requiredRefusalReports = 2

// handleConnectionRefused handles an entry's report that an endpoint refuses connections; enough reports make the
// endpoint lost.
func (s *Server) handleConnectionRefused(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.ConnectionRefused
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	required := min(requiredRefusalReports, max(1, s.watchers.count(time.Now())))
	lost := false
	err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) {
		lost = t.Roster.ReportRefusal(now, req.Endpoint, req.StartedMillis, req.Entry, required)
	})
	if err == nil && lost {
		s.deps.Events.Emit(kwevent.EndpointLost, "", kwevent.F("endpoint", req.Endpoint), kwevent.F("cause", "refuses connections"),
			kwevent.F("entry", req.Entry), kwevent.F("witnesses", required))
	}
	return nil, err
}

const (
	// minUnresponsiveReports is the least number of entries that must find an endpoint unresponsive to shorten its lease, since a
	// single entry may be cut off itself.
	minUnresponsiveReports = 2
	// unresponsiveReportShare is the share of all entries that must do so. Those of the endpoint's availability zone are about
	// a fifth to a third of all.
	unresponsiveReportShare = 0.1
)

// handleUnresponsive handles an entry's report that it cannot reach an endpoint.
func (s *Server) handleUnresponsive(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.Unresponsive
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	witnesses := max(minUnresponsiveReports, int(unresponsiveReportShare*float64(s.watchers.count(time.Now()))))
	return nil, s.runAsLeader(ctx, func(_ time.Time, t *kwreconcile.Tables) {
		t.Roster.ReportUnresponsive(req.Endpoint, req.StartedMillis, req.Entry, witnesses)
	})
}

// handleRetryLoan grants an entry one retry from the fleet's budget, or returns an error if the budget is spent.
func (s *Server) handleRetryLoan(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.RetryLoan
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	lent := false
	requests := s.watchers.requests(time.Now(), req.Service)
	err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) { lent = s.lender.Lend(now, t.Epoch, req.Service, requests) })
	if err == nil && !lent {
		err = kwcode.New(kwcode.RetryBudgetSpent, "the retry budget of %q is spent", req.Service)
	}
	return nil, err
}
