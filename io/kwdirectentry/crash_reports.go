package kwdirectentry

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtime"
	"knapweedproxy/io/kwupstream"
)

const (
	// crashReportDelay is how long an entry collects the requests that a crash has ended before it reports them, and lateReportDelay how
	// long it then collects those that it learns of later.
	crashReportDelay = 30 * time.Millisecond
	lateReportDelay  = 300 * time.Millisecond
	// maxReportedRequests bounds the requests under way in one report, and those that were answered before.
	maxReportedRequests = 256
	// crashReportAttempts is how often a report is sent at most, crashReportRetryDelay apart.
	crashReportAttempts   = 3
	crashReportRetryDelay = 300 * time.Millisecond
)

// crashReports collects the requests that the crash of a process has ended, for one or two reports of each crash. It is safe for
// concurrent use.
type crashReports struct {
	mu      sync.Mutex
	pending map[kwmembership.Process][]kwdirectproto.CrashedRequest
	// failed is set after a report that no leader took.
	failed bool
	// repeating is set while the crashes of the last minute are reported again.
	repeating bool
}

// beginRepeat reports whether the crashes may be reported again now. If that is under way, it counts as failed, so that a later view
// begins it anew.
func (c *crashReports) beginRepeat() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.repeating {
		c.failed = true
		return false
	}
	c.repeating = true
	return true
}

func (c *crashReports) endRepeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repeating = false
}

// takeFailed reports whether a report has failed since the last call.
func (c *crashReports) takeFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed := c.failed
	c.failed = false
	return failed
}

func (c *crashReports) setFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = true
}

// add adds requests to the report of a crash, and reports whether that is a new one.
func (c *crashReports) add(process kwmembership.Process, requests []kwdirectproto.CrashedRequest) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[kwmembership.Process][]kwdirectproto.CrashedRequest)
	}
	pending, ok := c.pending[process]
	c.pending[process] = append(pending, requests[:min(len(requests), maxReportedRequests-len(pending))]...)
	return !ok
}

// take returns what was collected for a process; the collection goes on unless last is set.
func (c *crashReports) take(process kwmembership.Process, last bool) []kwdirectproto.CrashedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.pending[process]
	c.pending[process] = nil
	if last {
		delete(c.pending, process)
	}
	return requests
}

// reportCrash adds requests that a crash has ended, if any, to the report of the crash.
func (g *Gateway) reportCrash(process kwmembership.Process, requests ...kwdirectproto.CrashedRequest) {
	if g.crashReports.add(process, requests) {
		g.goBackground(func() {
			kwtime.Sleep(g.ctx, crashReportDelay)
			g.sendCrashReport(process, g.crashReports.take(process, false))
			kwtime.Sleep(g.ctx, lateReportDelay)
			g.sendCrashReport(process, g.crashReports.take(process, true))
		})
	}
}

// sendCrashReport reports the requests of a crash to the leader, together with those that the process answered just before it.
func (g *Gateway) sendCrashReport(process kwmembership.Process, requests []kwdirectproto.CrashedRequest) {
	if g.leaves(process) {
		// It may have stopped as planned instead.
		g.partGuard.RecordStopped(process)
		return
	}
	requests = append(requests, g.answeredBeforeCrash(process, requests)...)
	if len(requests) == 0 {
		return
	}
	for _, r := range requests {
		g.partGuard.RecordReported(time.Now(), kwquarantine.Evidence{
			Crash: process, Request: r.Request, Digest: r.Digest, Parts: r.Parts, Answered: r.Request == "",
		})
	}
	g.callCrashed(kwdirectproto.EndpointCrashed{
		Entry: g.cfg.Node, Endpoint: process.Endpoint, StartedMillis: process.StartedMillis, Requests: requests,
	})
}

// reportCrashesAgain reports the crashes of the last minute to a leader that does not know them: a new one, or the one that an entry was
// cut off from.
func (g *Gateway) reportCrashesAgain() {
	if !g.crashReports.beginRepeat() {
		return
	}
	defer g.crashReports.endRepeat()
	now := time.Now()
	var reports []kwdirectproto.EndpointCrashed
	for _, ev := range g.partGuard.Reported(now) {
		request := kwdirectproto.CrashedRequest{
			Request: ev.Request, Digest: ev.Digest, Parts: ev.Parts, SoundAge: g.partGuard.SoundAge(now, ev.Digest),
		}
		if n := len(reports) - 1; n >= 0 && reports[n].Endpoint == ev.Crash.Endpoint && reports[n].StartedMillis == ev.Crash.StartedMillis {
			reports[n].Requests = append(reports[n].Requests, request)
			continue
		}
		reports = append(reports, kwdirectproto.EndpointCrashed{
			Entry: g.cfg.Node, Endpoint: ev.Crash.Endpoint, StartedMillis: ev.Crash.StartedMillis, Age: ev.Age,
			Requests: []kwdirectproto.CrashedRequest{request},
		})
	}
	for _, req := range reports {
		if g.ctx.Err() != nil {
			return
		}
		g.callCrashed(req)
	}
}

// callCrashed sends a report of a crash to the leader.
func (g *Gateway) callCrashed(req kwdirectproto.EndpointCrashed) {
	// A leader of an older version reads one request only.
	req.Request, req.Parts = req.Requests[0].Request, req.Requests[0].Parts
	for _, r := range req.Requests {
		if len(r.Parts) > 0 {
			req.Request, req.Parts = r.Request, r.Parts
			break
		}
	}
	var err error
	for attempt := range crashReportAttempts {
		if attempt > 0 {
			kwtime.Sleep(g.ctx, crashReportRetryDelay)
		}
		ctx, cancel := context.WithTimeout(g.ctx, faultReportTimeout)
		err = g.leader.Call(ctx, kwdirectproto.KindEndpointCrashed, req, nil, 0)
		cancel()
		if err == nil || g.ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		g.crashReports.setFailed()
		g.deps.Events.Emit(kwevent.CrashUnreported, req.Request, kwevent.F("endpoint", req.Endpoint),
			kwevent.F("requests", len(req.Requests)), kwevent.F("error", err.Error()))
	}
}

// answeredBeforeCrash returns the requests that a process answered just before its crash.
func (g *Gateway) answeredBeforeCrash(process kwmembership.Process, requests []kwdirectproto.CrashedRequest) []kwdirectproto.CrashedRequest {
	digests := make([]kwid.RequestDigest, 0, len(requests))
	for _, r := range requests {
		digests = append(digests, r.Digest)
	}
	answered := g.partGuard.RecordCrashed(time.Now(), process, digests)
	var crashed []kwdirectproto.CrashedRequest
	for _, digest := range answered[:min(len(answered), maxReportedRequests)] {
		crashed = append(crashed, kwdirectproto.CrashedRequest{Digest: digest, SoundAge: g.partGuard.SoundAge(time.Now(), digest)})
		g.deps.Events.Emit(kwevent.RequestCrashed, "", kwevent.F("endpoint", process.Endpoint), kwevent.F("born", process.StartedMillis),
			kwevent.F("digest", digest.String()), kwevent.F("answered", true))
	}
	return crashed
}

// noteRefusal records that an endpoint refuses connections, so that it has crashed since its last answers.
func (g *Gateway) noteRefusal(id kwid.EndpointID, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if row, known := g.view.Load().endpoints[id]; known {
		g.reportCrash(row.Announcement.Process())
	}
}

// leaves reports whether a process drains before a planned stop, or did so when a view last listed it.
func (g *Gateway) leaves(process kwmembership.Process) bool {
	return g.scheduler.leavers.Leaving(process) || g.scheduler.announcedLeavers.Leaving(process)
}

// recordLeavers remembers the processes that leave by a view.
func (g *Gateway) recordLeavers(rows []kwmembership.RosterRow) {
	for _, row := range rows {
		if row.State == kwmembership.Leaving || row.Announcement.Leaving || row.ReportedLeaving {
			g.scheduler.announcedLeavers.Record(time.Now(), row.Announcement.Process())
		}
	}
}

// checkLostEndpoint probes an endpoint that the leader takes for lost: only one that refuses connections has crashed.
func (g *Gateway) checkLostEndpoint(endpoint kwmembership.Announcement) {
	if kwupstream.Probe(g.ctx, endpoint.Address) == kwchainsearch.Refused {
		g.reportCrash(endpoint.Process())
	}
}

// reportReplaced reports the crash of the processes that a view replaces, by a later one of the same endpoint or by another endpoint at
// the same address. Those that are back soon are never taken for lost.
func (g *Gateway) reportReplaced(old, next *view) {
	holders := make(map[string]kwid.EndpointID, len(next.endpoints))
	for id, row := range next.endpoints {
		holders[row.Announcement.Address] = id
	}
	for id, row := range old.endpoints {
		process, address := row.Announcement.Process(), row.Announcement.Address
		present, listed := next.endpoints[id]
		_, taken := holders[address]
		if listed && present.Announcement.StartedMillis > process.StartedMillis || !listed && taken {
			g.reportCrash(process)
		}
	}
}
