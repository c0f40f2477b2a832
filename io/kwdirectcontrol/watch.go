package kwdirectcontrol

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
)

// maxWatchTime bounds how long a watch is held open, so that entries notice a dead connection in time.
const maxWatchTime = time.Second

// handleWatch is a long poll: it replies at the next change of the entry's view, or when the requested time is over.
func (s *Server) handleWatch(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.Watch
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	m := s.member.Load()
	if m == nil {
		return nil, kwcode.New(kwcode.NotLeader, "%s has no replicated log", s.cfg.Address)
	}
	s.watchers.record(time.Now(), req)
	timer := time.NewTimer(min(req.MaxWait, maxWatchTime))
	defer timer.Stop()
	for expired := false; ; {
		changed := m.loop.Changed()
		view, err := s.view(ctx, m, req)
		if err != nil {
			return nil, err
		}
		if expired || view.Full || view.Declaration != nil || len(view.Endpoints) > 0 {
			view.Loads = s.watchers.otherLoads(time.Now(), req.Entry)
			view.EntryCount = s.watchers.count(time.Now())
			return view, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

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

// view returns what has changed since the entry's view. It is read under the leader's lease, so it is not stale.
func (s *Server) view(ctx context.Context, m *logMember, req kwdirectproto.Watch) (kwdirectproto.View, error) {
	var v kwdirectproto.View
	err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) {
		v.Gathering = now.Before(t.GatherUntil)
		v.Version = t.Roster.Version()
		if d := t.State.Declared(); d.Number > req.DeclarationNumber {
			v.Declaration = &kwdirectproto.CompressedDeclaration{Number: d.Number, Content: d.Content}
		}
		since := req.Version
		v.Epoch = t.Epoch
		if req.Epoch != v.Epoch {
			v.Full = true
			since = 0
		}
		v.Endpoints = t.Roster.Since(since)
	})
	if err != nil {
		return kwdirectproto.View{}, err
	}
	m.loop.Log(func(_ time.Time, n *kwraft.Node) {
		members := n.Status().Members
		for _, id := range slices.Concat(members.Voters, members.Learners) {
			v.ControlAddresses = append(v.ControlAddresses, string(kwcontrol.NodeOf(id)))
		}
	})
	return v, nil
}

// watchers holds what each entry reported with its last watch.
type watchers struct {
	mu      sync.Mutex
	entries map[kwid.NodeID]watcher
}

type watcher struct {
	lastSeen time.Time
	loads    []kwdirectproto.Load
	requests map[kwid.ServiceName]int
}

func newWatchers() *watchers {
	return &watchers{entries: make(map[kwid.NodeID]watcher)}
}

func (w *watchers) record(now time.Time, req kwdirectproto.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[req.Entry] = watcher{lastSeen: now, loads: req.Loads, requests: req.Requests}
}

// dropSilent removes entries that have sent no watch within entryLease; the caller holds mu.
func (w *watchers) dropSilent(now time.Time) {
	maps.DeleteFunc(w.entries, func(_ kwid.NodeID, r watcher) bool { return now.Sub(r.lastSeen) > entryLease })
}

func (w *watchers) count(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSilent(now)
	return len(w.entries)
}

// requests returns how many requests for a service the entries reported for their last window.
func (w *watchers) requests(now time.Time, service kwid.ServiceName) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSilent(now)
	sum := 0
	for _, r := range w.entries {
		sum += r.requests[service]
	}
	return sum
}

// otherLoads returns the sum of the loads of all entries except self, sorted by endpoint.
func (w *watchers) otherLoads(now time.Time, self kwid.NodeID) []kwdirectproto.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSilent(now)
	sum := make(map[kwid.EndpointID]kwdirectproto.Load)
	for entry, r := range w.entries {
		if entry == self {
			continue
		}
		for _, l := range r.loads {
			s := sum[l.Endpoint]
			sum[l.Endpoint] = kwdirectproto.Load{Endpoint: l.Endpoint, Used: s.Used + l.Used, Running: s.Running + l.Running}
		}
	}
	out := slices.Collect(maps.Values(sum))
	slices.SortFunc(out, func(a, b kwdirectproto.Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}
