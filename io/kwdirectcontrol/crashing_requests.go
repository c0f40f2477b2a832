package kwdirectcontrol

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtime"
)

// maxEvidencePerReport bounds the requests of one report that count.
const maxEvidencePerReport = 512

// crashEvidence returns the evidence in a report. Entries of older versions report one request, without a digest.
func crashEvidence(req kwdirectproto.EndpointCrashed) []kwquarantine.Evidence {
	process := kwmembership.Process{Endpoint: req.Endpoint, StartedMillis: req.StartedMillis}
	if len(req.Requests) == 0 {
		return []kwquarantine.Evidence{{Crash: process, Request: req.Request, Parts: req.Parts}}
	}
	var evidence []kwquarantine.Evidence
	for _, r := range req.Requests[:min(len(req.Requests), maxEvidencePerReport)] {
		evidence = append(evidence, kwquarantine.Evidence{
			Crash: process, Request: r.Request, Digest: r.Digest, Parts: r.Parts, SoundAge: r.SoundAge, Age: req.Age,
			// Those that were under way come with an ID.
			Answered: r.Request == "",
		})
	}
	return evidence
}

// reportsRequests reports whether a watch says anything of requests under which servers crash.
func reportsRequests(req kwdirectproto.Watch) bool {
	return len(req.SoundRequests) > 0 || len(req.HeldRequests) > 0 || len(req.SuspectRequests) > 0
}

// fromEarlierLeader reports whether the view of an entry comes from an earlier leader. Without an epoch it comes from this one, or the
// entry has none yet.
func fromEarlierLeader(req kwdirectproto.Watch, epoch uint64) bool {
	return req.Epoch != 0 && req.Epoch != epoch
}

// recordRequests takes over what an entry reports of requests. Those of its view are adopted only if that comes from an earlier leader.
func (p *promptParts) recordRequests(now time.Time, r *kwquarantine.Registry, epoch uint64, req kwdirectproto.Watch) {
	if fromEarlierLeader(req, epoch) {
		r.AdoptRequests(now, req.HeldRequests, req.SuspectRequests)
	}
	r.RecordSoundRequests(now, req.SoundRequests)
}

// decisions wakes those that wait for a decision. It is safe for concurrent use.
type decisions struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed by the next decision.
func (d *decisions) next() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ch == nil {
		d.ch = make(chan struct{})
	}
	return d.ch
}

// announce wakes all that wait on a channel from next.
func (d *decisions) announce() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ch != nil {
		close(d.ch)
		d.ch = nil
	}
}

// decideInTime takes the decisions that are due, and has the next one taken as soon as it is: each crash until then costs a server.
func (s *Server) decideInTime(now time.Time, epoch uint64) {
	p := s.promptParts
	p.decide(now, epoch)
	due, ok := p.at(epoch).DecideAt()
	// One that is past was not taken, since the lease had lapsed.
	if !ok || !due.After(now) || p.nextDecision.After(now) && !due.Before(p.nextDecision) {
		return
	}
	p.nextDecision = due
	s.background(func() {
		kwtime.Sleep(s.ctx, due.Sub(now))
		// Without an answer the process no longer leads, and the next leader decides.
		_ = s.runAsLeader(s.ctx, func(now time.Time, t *kwreconcile.Tables) {
			p.nextDecision = time.Time{}
			s.decideInTime(now, t.Epoch)
		})
	})
}

// logHeldChanges logs which requests are held and which no longer are.
func (p *promptParts) logHeldChanges(current []kwquarantine.HeldRequest) {
	held := make(map[kwid.RequestDigest]bool, len(current))
	for _, h := range current {
		if !p.held[h.Digest] {
			p.events.Emit(kwevent.RequestsHeld, "", kwevent.F("digest", h.Digest.String()), kwevent.F("term-ms", h.Remaining.Milliseconds()))
		}
		delete(p.held, h.Digest)
		held[h.Digest] = true
	}
	for digest := range p.held {
		p.events.Emit(kwevent.RequestsReleased, "", kwevent.F("digest", digest.String()))
	}
	p.held = held
}
