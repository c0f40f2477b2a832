package kwdirectentry

import (
	"context"
	"sync"
	"syscall"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// queryStalls asks the first endpoint of a silent chain which requests are stalled by which endpoints, ejects those
// endpoints and seeks other chains for the requests. A first endpoint that does not answer is ejected itself. One that
// wants no requests is not asked.
func (g *Gateway) queryStalls(chain kwchainsearch.Chain) {
	first := chain.First()
	if g.scheduler.pauseOf(time.Now(), first.Endpoint) > 0 || !g.scheduler.stallQueries.allow(first.Endpoint, time.Now()) {
		return
	}
	process, _ := g.scheduler.leavers.Process(first.Endpoint)
	g.goBackground(func() {
		ctx, cancel := context.WithTimeout(g.ctx, stallQueryTimeout)
		defer cancel()
		report, err := g.deps.Stalls.StalledRequests(ctx, first.Endpoint, first.Address)
		if report.Leaving {
			g.recordLeaving("", process)
		}
		stalls := report.Stalled
		silent := err == nil || ctx.Err() != nil
		if err != nil {
			stalls = []StalledRequest{{EndpointAddress: first.Address}}
		}
		ejected := make(map[string]kwid.EndpointID)
		for _, s := range stalls {
			id, known := ejected[s.EndpointAddress]
			if !known {
				if id, known = g.scheduler.ejectAddress(time.Now(), s.EndpointAddress, silent); !known {
					continue
				}
				ejected[s.EndpointAddress] = id
				g.logEjection("", id, s.EndpointAddress, "stalls a chain", kwevent.F("first", first.Endpoint), kwevent.F("asked", err == nil))
			}
			g.activeStreams.suspect(s.Request, id)
		}
	})
}

// probeChain connects to the endpoints of a silent chain, ejects the faulty ones and moves their streams. An engine
// notices a lost stage only after seconds, and its stall report lags behind, while a lost endpoint refuses a connection
// at once.
func (g *Gateway) probeChain(chain kwchainsearch.Chain) {
	var due []kwchainsearch.Stage
	for _, stage := range chain.Stages {
		if g.scheduler.probes.allow(stage.Endpoint, time.Now()) {
			due = append(due, stage)
		}
	}
	if len(due) == 0 {
		return
	}
	g.goBackground(func() { g.probeAndEject(due) })
}

// probeStage connects to one endpoint of a chain, and to its first one to tell a faulty endpoint from a cut network. It ejects
// the faulty one.
func (g *Gateway) probeStage(chain kwchainsearch.Chain, id kwid.EndpointID) {
	if !g.scheduler.probes.allow(id, time.Now()) {
		return
	}
	var stages []kwchainsearch.Stage
	for i, stage := range chain.Stages {
		if i == 0 || stage.Endpoint == id {
			stages = append(stages, stage)
		}
	}
	g.goBackground(func() { g.probeAndEject(stages) })
}

// probeAndEject connects to stages of a chain and ejects the faulty ones.
func (g *Gateway) probeAndEject(stages []kwchainsearch.Stage) {
	results := g.probeStages(stages)
	for _, i := range kwchainsearch.FaultyStages(results) {
		g.ejectFaulty(stages[i], results[i])
	}
}

func (g *Gateway) probeStages(stages []kwchainsearch.Stage) []kwchainsearch.ConnectResult {
	results := make([]kwchainsearch.ConnectResult, len(stages))
	var wg sync.WaitGroup
	for i, stage := range stages {
		wg.Go(func() { results[i] = kwupstream.Probe(g.ctx, stage.Address) })
	}
	wg.Wait()
	return results
}

// ejectFaulty ejects an endpoint whose probe was refused or timed out. The streams of the former are aborted; for those of the latter,
// which may only be silent for a while, other chains are sought.
func (g *Gateway) ejectFaulty(stage kwchainsearch.Stage, result kwchainsearch.ConnectResult) {
	lost := result == kwchainsearch.Refused
	if process, known := g.scheduler.leavers.Process(stage.Endpoint); known && !lost {
		g.crashLog.recordUnresponsive(time.Now(), process)
	}
	g.eject("", stage.Endpoint, stage.Address, !lost, "failed a probe of a silent chain", kwevent.F("refused", lost))
	if lost {
		g.noteRefusal(stage.Endpoint, syscall.ECONNREFUSED)
		g.activeStreams.abortAll(stage.Endpoint)
	} else {
		g.activeStreams.suspectAll(stage.Endpoint)
	}
	g.reportFaulty(stage.Endpoint, lost)
}

// eject takes an endpoint out of use for a while and logs the cause; see scheduler.eject.
func (g *Gateway) eject(request kwid.RequestID, id kwid.EndpointID, address string, silent bool, cause string, more ...kwevent.Field) {
	g.scheduler.eject(time.Now(), id, silent)
	g.logEjection(request, id, address, cause, more...)
}

// logEjection logs that an endpoint was ejected and why; request is empty if no single request showed the fault.
func (g *Gateway) logEjection(request kwid.RequestID, id kwid.EndpointID, address, cause string, more ...kwevent.Field) {
	fields := []kwevent.Field{kwevent.F("endpoint", id), kwevent.F("address", address), kwevent.F("cause", cause)}
	g.deps.Events.Emit(kwevent.EndpointEjected, request, append(fields, more...)...)
}

// reportFaulty reports to the leader that an endpoint refuses connections or, if refuses is not set, is unresponsive, so that other
// entries need not find out by themselves and its layers are placed on other endpoints.
func (g *Gateway) reportFaulty(id kwid.EndpointID, refuses bool) {
	row, known := g.view.Load().endpoints[id]
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, faultReportTimeout)
	defer cancel()
	var err error
	if started := row.Announcement.StartedMillis; refuses {
		req := kwdirectproto.ConnectionRefused{Entry: g.cfg.Node, Endpoint: id, StartedMillis: started}
		err = g.leader.Call(ctx, kwdirectproto.KindConnectionRefused, req, nil, 0)
	} else {
		req := kwdirectproto.Unresponsive{Entry: g.cfg.Node, Endpoint: id, StartedMillis: started}
		err = g.leader.Call(ctx, kwdirectproto.KindUnresponsive, req, nil, 0)
	}
	if err != nil {
		// A retry is not needed: the lease of the endpoint expires anyway.
		g.deps.Events.Emit(kwevent.RefusalUnreported, "", kwevent.F("endpoint", id), kwevent.F("refuses", refuses), kwevent.F("error", err.Error()))
	}
}

// endpointLimiter allows an action once in a period for each endpoint; it is safe for concurrent use.
type endpointLimiter struct {
	period time.Duration
	mu     sync.Mutex
	last   map[kwid.EndpointID]time.Time
}

func newEndpointLimiter(period time.Duration) *endpointLimiter {
	return &endpointLimiter{period: period, last: make(map[kwid.EndpointID]time.Time)}
}

func (l *endpointLimiter) allow(id kwid.EndpointID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last[id]) < l.period {
		return false
	}
	l.last[id] = now
	return true
}

// retain forgets the endpoints that are no longer known.
func (l *endpointLimiter) retain(known func(kwid.EndpointID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.last {
		if !known(id) {
			delete(l.last, id)
		}
	}
}
