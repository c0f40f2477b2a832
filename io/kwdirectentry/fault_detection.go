package kwdirectentry

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// blame asks the first endpoint of a silent chain which requests are held up and by whom, turns away from the endpoints
// at fault and moves the requests that wait for them.
func (g *Gateway) blame(chain kwchainsearch.Chain) {
	first := chain.First()
	if !g.chooser.asked.allow(first.Endpoint, time.Now()) {
		return
	}
	g.background(func() {
		ctx, cancel := context.WithTimeout(g.ctx, blameTimeout)
		defer cancel()
		stalls, err := g.deps.Stalls.StalledRequests(ctx, first.Address)
		if err != nil {
			stalls = []StalledRequest{{EndpointAddress: first.Address}}
		}
		ejected := make(map[string]kwid.EndpointID)
		for _, s := range stalls {
			id, known := ejected[s.EndpointAddress]
			if !known {
				if id, known = g.chooser.failAt(time.Now(), s.EndpointAddress); !known {
					continue
				}
				ejected[s.EndpointAddress] = id
				g.logEjected("", id, s.EndpointAddress, "holds up a chain", kwevent.F("first", first.Endpoint), kwevent.F("asked", err == nil))
			}
			g.active.breakOff(s.Request, id)
		}
	})
}

// probe connects to the endpoints of a silent chain, turns away from those at fault and moves their streams. An engine
// notices a lost stage after seconds, and its report lags behind; a connection is refused at once.
func (g *Gateway) probe(chain kwchainsearch.Chain) {
	var due []kwchainsearch.Stage
	for _, p := range chain.Stages {
		if g.chooser.probed.allow(p.Endpoint, time.Now()) {
			due = append(due, p)
		}
	}
	if len(due) == 0 {
		return
	}
	g.background(func() { g.judge(due) })
}

// judge connects to parts of a chain and turns away from those at fault.
func (g *Gateway) judge(parts []kwchainsearch.Stage) {
	reach := g.probeParts(parts)
	for _, i := range kwchainsearch.FaultyStages(reach) {
		g.turnFrom(parts[i], reach[i])
	}
}

func (g *Gateway) probeParts(parts []kwchainsearch.Stage) []kwchainsearch.ConnectResult {
	reach := make([]kwchainsearch.ConnectResult, len(parts))
	var all sync.WaitGroup
	for i, p := range parts {
		all.Go(func() { reach[i] = kwupstream.Probe(g.ctx, p.Address) })
	}
	all.Wait()
	return reach
}

// turnFrom takes a probe's word that an endpoint is lost or silent.
func (g *Gateway) turnFrom(p kwchainsearch.Stage, reach kwchainsearch.ConnectResult) {
	lost := reach == kwchainsearch.Refused
	g.eject("", p.Endpoint, p.Address, "probed in a silent chain", kwevent.F("refused", lost))
	g.active.breakOffAll(p.Endpoint, lost)
	if lost {
		g.reportRefusal(p.Endpoint)
	}
}

// eject turns away from an endpoint for a while.
func (g *Gateway) eject(request kwid.RequestID, id kwid.EndpointID, address, cause string, more ...kwevent.Field) {
	g.chooser.fail(time.Now(), id)
	g.logEjected(request, id, address, cause, more...)
}

// logEjected logs that an endpoint was ejected and why; the request is empty where no single one showed it.
func (g *Gateway) logEjected(request kwid.RequestID, id kwid.EndpointID, address, cause string, more ...kwevent.Field) {
	fields := []kwevent.Field{kwevent.F("endpoint", id), kwevent.F("address", address), kwevent.F("cause", cause)}
	g.deps.Events.Emit(kwevent.EndpointEjected, request, append(fields, more...)...)
}

// reportRefusal tells control that an endpoint refuses connections, so that the others need not find out by themselves
// and its layers are placed anew.
func (g *Gateway) reportRefusal(id kwid.EndpointID) {
	row, known := g.view.Load().endpoints[id]
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, reportTimeout)
	defer cancel()
	req := kwdirectproto.ConnectionRefused{Entry: g.cfg.Node, Endpoint: id, Incarnation: row.Announcement.StartedMillis}
	if err := g.leader.Call(ctx, kwdirectproto.KindConnectionRefused, req, nil, 0); err != nil {
		// The lease of the endpoint runs out anyway.
		g.deps.Events.Emit(kwevent.RefusalUnreported, "", kwevent.F("endpoint", id), kwevent.F("error", err.Error()))
	}
}

// pacer lets an action on an endpoint through once in a period; it is safe for concurrent use.
type pacer struct {
	period time.Duration
	mu     sync.Mutex
	last   map[kwid.EndpointID]time.Time
}

func newPacer(period time.Duration) *pacer {
	return &pacer{period: period, last: make(map[kwid.EndpointID]time.Time)}
}

func (p *pacer) allow(id kwid.EndpointID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[id]) < p.period {
		return false
	}
	p.last[id] = now
	return true
}

// keep forgets the endpoints that are no longer known.
func (p *pacer) keep(known func(kwid.EndpointID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.last {
		if !known(id) {
			delete(p.last, id)
		}
	}
}
