package kwdirectcontrol

import (
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
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
		evidence = append(evidence, kwquarantine.Evidence{Crash: process, Request: r.Request, Digest: r.Digest, Parts: r.Parts})
	}
	return evidence
}

// reportsRequests reports whether a watch says anything of requests under which servers crash.
func reportsRequests(req kwdirectproto.Watch) bool {
	return len(req.SoundRequests) > 0 || len(req.HeldRequests) > 0 || len(req.SuspectRequests) > 0
}

// recordRequests takes over what an entry reports of requests. Those of its view are adopted only if that comes from an earlier leader.
func (p *promptParts) recordRequests(now time.Time, r *kwquarantine.Registry, epoch uint64, req kwdirectproto.Watch) {
	if req.Epoch != epoch {
		r.AdoptRequests(now, req.HeldRequests, req.SuspectRequests)
	}
	r.RecordSoundRequests(now, req.SoundRequests)
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
