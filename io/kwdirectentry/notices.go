package kwdirectentry

import (
	"context"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtime"
	"knapweedproxy/io/kwupstream"
)

// leavingReportDelay is the delay after a report to the leader that failed.
const leavingReportDelay = time.Second

// recordNotices records what the head of an answer says of the server that sent it: whether it leaves, how many requests a second it
// takes, and for how long it, and the server that failed in its chain, want no requests.
func (g *Gateway) recordNotices(request kwid.RequestID, process kwmembership.Process, address string, meta kwupstream.ResponseMeta) {
	if meta.Leaving {
		g.recordLeaving(request, process)
	}
	g.recordLimit(request, process, meta)
	if meta.OddRetryAfter != "" {
		g.deps.Events.Emit(kwevent.RetryAfterOdd, request, kwevent.F("endpoint", process.Endpoint), kwevent.F("value", meta.OddRetryAfter),
			kwevent.F("pause-ms", meta.RetryAfter.Milliseconds()))
	}
	if meta.RetryAfter <= 0 {
		return
	}
	g.recordPause(request, process, meta.RetryAfter)
	if meta.FailedAddress == "" || meta.FailedAddress == address {
		return
	}
	id, _ := g.scheduler.endpointAt(meta.FailedAddress)
	if failed, known := g.scheduler.leavers.Process(id); known {
		g.recordPause(request, failed, meta.RetryAfter)
	}
}

// recordPause records and logs that a server wants no requests for a time.
func (g *Gateway) recordPause(request kwid.RequestID, process kwmembership.Process, length time.Duration) {
	if g.scheduler.pause(time.Now(), process, length) {
		g.deps.Events.Emit(kwevent.EndpointPaused, request, kwevent.F("endpoint", process.Endpoint), kwevent.F("born", process.StartedMillis),
			kwevent.F("pause-ms", length.Milliseconds()))
	}
}

// recordLimit records how many requests a second a server takes from all entries together by one of its answers.
func (g *Gateway) recordLimit(request kwid.RequestID, process kwmembership.Process, meta kwupstream.ResponseMeta) {
	if meta.OddLimit != "" {
		g.deps.Events.Emit(kwevent.RequestLimitOdd, request, kwevent.F("endpoint", process.Endpoint), kwevent.F("value", meta.OddLimit),
			kwevent.F("limited", meta.Limit.Kind == kwendpointlimit.Limited), kwevent.F("per-second", meta.Limit.Rate))
	}
	if !g.scheduler.limits.Observe(time.Now(), process, meta.Limit) {
		return
	}
	g.logLimit(request, process, meta.Limit.Rate, 0)
}

// applyLoans takes over what the leader has answered to a watch about the limits of servers.
func (g *Gateway) applyLoans(sentAt time.Time, loans []kwendpointlimit.Loan) {
	for _, news := range g.scheduler.limits.Apply(time.Now(), sentAt, loans) {
		g.logLimit("", news.Process, news.Notice.Rate, news.Age)
	}
}

// logLimit logs a change of the limit of a server that came by the answer to a request, or from another entry if request is empty, and
// wakes the requests that wait, since their turns have moved. Age is the time since the server's answer.
func (g *Gateway) logLimit(request kwid.RequestID, process kwmembership.Process, rate kwendpointlimit.Rate, age time.Duration) {
	share, limited := g.scheduler.limits.Share(time.Now(), process)
	g.scheduler.wakeAll()
	g.deps.Events.Emit(kwevent.EndpointLimited, request, kwevent.F("endpoint", process.Endpoint), kwevent.F("born", process.StartedMillis),
		kwevent.F("limited", limited), kwevent.F("per-second", rate), kwevent.F("share", share), kwevent.F("age-ms", age.Milliseconds()))
}

// pause records that an endpoint process wants no requests for a time, and wakes the requests that wait for it. It reports
// whether that is news.
func (s *scheduler) pause(now time.Time, process kwmembership.Process, length time.Duration) bool {
	if !s.pauses.Record(now, process, length) {
		return false
	}
	s.wakeAll()
	return true
}

// wakeAll wakes all waiting requests.
func (s *scheduler) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for waiter := range s.wakeups {
		s.wake(waiter)
	}
}

// pauseOf returns for how long an endpoint wants no requests, 0 if it is not paused.
func (s *scheduler) pauseOf(now time.Time, id kwid.EndpointID) time.Duration {
	process, _ := s.leavers.Process(id)
	return s.pauses.Remaining(now, process)
}

// pauseOfAll returns the time until the first of some endpoints wants requests again, 0 if one of them does now.
func (s *scheduler) pauseOfAll(now time.Time, endpoints []kwmembership.Announcement) time.Duration {
	shortest := time.Duration(0)
	for _, a := range endpoints {
		if s.leavers.Leaving(a.Process()) {
			continue
		}
		pause := s.pauses.Remaining(now, a.Process())
		if pause == 0 {
			return 0
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest
}

// recordLeaving takes an endpoint process out of use for good that has said in an answer that it leaves, and reports it to the
// leader, which does the same for all entries.
func (g *Gateway) recordLeaving(request kwid.RequestID, p kwmembership.Process) {
	if !g.scheduler.leavers.Record(time.Now(), p) {
		return
	}
	g.deps.Events.Emit(kwevent.LeavingSeen, request, kwevent.F("endpoint", p.Endpoint), kwevent.F("born", p.StartedMillis))
	g.goBackground(func() { g.reportLeaving(p) })
}

// reportLeaving reports to the leader that an endpoint process leaves, until that succeeds or the process is no longer known.
func (g *Gateway) reportLeaving(p kwmembership.Process) {
	req := kwdirectproto.SaidLeaving{Entry: g.cfg.Node, Endpoint: p.Endpoint, StartedMillis: p.StartedMillis}
	failed := false
	for g.ctx.Err() == nil && g.knowsLive(p) {
		ctx, cancel := context.WithTimeout(g.ctx, faultReportTimeout)
		err := g.leader.Call(ctx, kwdirectproto.KindSaidLeaving, req, nil, 0)
		cancel()
		if err == nil {
			return
		}
		if !failed && g.ctx.Err() == nil {
			failed = true
			g.deps.Events.Emit(kwevent.LeavingUnreported, "", kwevent.F("endpoint", p.Endpoint), kwevent.F("error", err.Error()))
		}
		kwtime.Sleep(g.ctx, leavingReportDelay)
	}
}

// knowsLive reports whether the view lists a process as live.
func (g *Gateway) knowsLive(p kwmembership.Process) bool {
	row, known := g.view.Load().endpoints[p.Endpoint]
	return known && row.State == kwmembership.Live && row.Announcement.StartedMillis == p.StartedMillis
}

// closedStage returns the first endpoint of a chain that has said that it leaves or wants no requests, or false.
func (s *scheduler) closedStage(now time.Time, chain kwchainsearch.Chain) (kwid.EndpointID, bool) {
	for _, stage := range chain.Stages {
		if s.leavers.EndpointLeaving(stage.Endpoint) || s.pauseOf(now, stage.Endpoint) > 0 {
			return stage.Endpoint, true
		}
	}
	return "", false
}
