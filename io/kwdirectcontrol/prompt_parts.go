package kwdirectcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
)

// promptParts holds the leader's quarantines of prompt parts. The control goroutine owns it.
type promptParts struct {
	registry *kwquarantine.Registry
	events   *kwevent.Emitter
	// epoch is that of the records; a new leader begins without any.
	epoch uint64
	// quarantined are the parts that were last logged as such, and held the requests.
	quarantined map[kwid.PromptPartID]bool
	held        map[kwid.RequestDigest]bool
	// decided wakes the watches after a decision, and nextDecision is when a goroutine takes the next one, zero if none does.
	decided      decisions
	nextDecision time.Time
}

func newPromptParts(events *kwevent.Emitter) *promptParts {
	return &promptParts{registry: kwquarantine.NewRegistry(kwquarantine.DefaultConfig()), events: events}
}

// at returns the registry of an epoch.
func (p *promptParts) at(epoch uint64) *kwquarantine.Registry {
	if epoch != p.epoch {
		p.epoch, p.quarantined, p.held, p.nextDecision = epoch, nil, nil, time.Time{}
		p.registry.Reset()
	}
	return p.registry
}

// recordWatch takes over what an entry reports. The quarantines of its view are adopted only if that comes from an earlier leader,
// since those of this one may have been lifted meanwhile.
func (p *promptParts) recordWatch(now time.Time, epoch uint64, req kwdirectproto.Watch) {
	r := p.at(epoch)
	if fromEarlierLeader(req, epoch) {
		r.Adopt(now, req.QuarantinedParts)
	}
	p.recordRequests(now, r, epoch, req)
	r.RecordSound(now, req.SoundParts)
	if req.LastSoundAge != nil {
		r.RecordServed(now, *req.LastSoundAge)
	}
}

// addTo decides on quarantines and adds them to a view.
func (p *promptParts) addTo(v *kwdirectproto.View, now time.Time) {
	p.decide(now, v.Epoch)
	r := p.at(v.Epoch)
	v.SuspectParts, v.QuarantinedParts = r.Suspects(now), r.Quarantined(now)
	v.SuspectRequests, v.HeldRequests = r.SuspectRequests(now), r.HeldRequests(now)
}

// decide takes the decisions that are due.
func (p *promptParts) decide(now time.Time, epoch uint64) {
	if r := p.at(epoch); r.Decide(now) {
		p.logChanges(r.Quarantined(now))
		p.logHeldChanges(r.HeldRequests(now))
		p.decided.announce()
	}
}

// logChanges logs which parts are quarantined and which no longer are.
func (p *promptParts) logChanges(current []kwquarantine.Quarantine) {
	added, quarantined := []kwquarantine.Quarantine{}, make(map[kwid.PromptPartID]bool, len(current))
	for _, q := range current {
		if !p.quarantined[q.Part] {
			added = append(added, q)
		}
		delete(p.quarantined, q.Part)
		quarantined[q.Part] = true
	}
	for _, q := range added {
		p.events.Emit(kwevent.PartsQuarantined, "", kwevent.F("part", q.Part), kwevent.F("with", q.With),
			kwevent.F("term-ms", q.Remaining.Milliseconds()))
	}
	for part := range p.quarantined {
		p.events.Emit(kwevent.PartsReleased, "", kwevent.F("part", part))
	}
	p.quarantined = quarantined
}

// handleEndpointCrashed records under which requests an endpoint crashed.
func (s *Server) handleEndpointCrashed(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.EndpointCrashed
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	evidence := crashEvidence(req)
	return nil, s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) {
		for _, ev := range evidence {
			s.promptParts.at(t.Epoch).RecordCrash(now, ev)
		}
		s.decideInTime(now, t.Epoch)
	})
}

// handleQuarantineTrial allows an entry to send one request that is held or has a quarantined part, or returns an error if no trial is
// due.
func (s *Server) handleQuarantineTrial(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.QuarantineTrial
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	allowed := false
	err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) {
		if req.Digest != nil {
			allowed = s.promptParts.at(t.Epoch).StartRequestTrial(now, *req.Digest)
			return
		}
		allowed = s.promptParts.at(t.Epoch).StartTrial(now, req.Part)
	})
	if err == nil && !allowed && req.Digest != nil {
		err = kwcode.New(kwcode.RequestQuarantined, "no trial of request %s is due", req.Digest)
	}
	if err == nil && !allowed {
		err = kwcode.New(kwcode.PromptQuarantined, "no trial of part %s is due", req.Part)
	}
	return nil, err
}
