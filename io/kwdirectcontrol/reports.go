package kwdirectcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
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

// handleSaidLeaving handles an entry's report that an endpoint says in its answers that it leaves; nil means that this is
// recorded.
func (s *Server) handleSaidLeaving(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.SaidLeaving
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	return nil, s.reportLeaving(ctx, kwmembership.Process{Endpoint: req.Endpoint, StartedMillis: req.StartedMillis}, req.Entry)
}

// reportOwnLeaver records that an endpoint has said in its response to the leader that it leaves. If that fails, the next entry
// that it answers reports it too.
func (s *Server) reportOwnLeaver(p kwmembership.Process) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = s.reportLeaving(ctx, p, "")
}

// reportLeaving makes an endpoint drain that says in its answers that it leaves, as if it had announced it. The reporter is
// empty for the leader itself.
func (s *Server) reportLeaving(ctx context.Context, p kwmembership.Process, reporter kwid.NodeID) error {
	var row kwmembership.RosterRow
	known, news := false, false
	err := s.runAsLeader(ctx, func(_ time.Time, t *kwreconcile.Tables) {
		news = t.Roster.ReportLeaving(p.Endpoint, p.StartedMillis)
		row, known = t.Roster.Row(p.Endpoint)
	})
	if err != nil {
		return err
	}
	if !known {
		return kwcode.New(kwcode.NoEndpoint, "endpoint %s is not known", p.Endpoint)
	}
	if news {
		s.deps.Events.Emit(kwevent.LeavingReported, "", kwevent.F("endpoint", p.Endpoint), kwevent.F("born", p.StartedMillis),
			kwevent.F("reporter", reporter))
	}
	if row.Announcement.Process() != p || row.State != kwmembership.Leaving {
		return nil
	}
	return s.recordDeparture(ctx, p.Endpoint)
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
