package kwquarantine

import (
	"slices"
	"time"

	"knapweedproxy/core/kwmembership"
)

// Adopt takes over the quarantines that an entry holds from an earlier leader; of several terms the one that ends last counts. A
// quarantine that this Registry has lifted is not taken over again.
func (r *Registry) Adopt(now time.Time, quarantined []Quarantine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	for _, adopted := range quarantined {
		if _, ok := r.lifted[adopted.Part]; ok {
			continue
		}
		remaining := min(max(adopted.Remaining, 0), r.cfg.MaxTerm)
		until := now.Add(remaining)
		q, ok := r.quarantined[adopted.Part]
		if !ok {
			r.hold(&quarantineState{
				part: adopted.Part, with: slices.Clone(adopted.With[:min(len(adopted.With), maxPartsPerEvidence)]), heldAt: now,
				term: max(remaining, r.cfg.FirstTerm), until: until,
			})
			continue
		}
		if q.trialAt.IsZero() && until.After(q.until) {
			q.until, q.term = until, max(q.term, remaining)
			r.changed = true
		}
	}
}

// AdoptRequests takes over the requests that an entry holds, and the counts of its suspects, from an earlier leader; of several terms
// or counts of a request the largest counts. A request that this Registry has released is not taken over again.
func (r *Registry) AdoptRequests(now time.Time, held []HeldRequest, suspects []SuspectRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	o := &overlaps{r: r}
	for _, h := range held {
		if _, ok := r.releasedRequests[h.Digest]; ok {
			continue
		}
		remaining := min(max(h.Remaining, 0), r.cfg.MaxTerm)
		term := min(max(h.Term, remaining, r.cfg.FirstRequestTerm), r.cfg.MaxTerm)
		until := now.Add(remaining)
		q, ok := r.heldRequests[h.Digest]
		if !ok {
			r.addHeldRequest(now, h.Digest, &quarantineState{term: term, until: until}, o)
			continue
		}
		if q.held.trialAt.IsZero() && until.After(q.held.until) {
			q.held.until, q.held.term = until, max(q.held.term, term)
			r.changed = true
		}
	}
	for _, s := range suspects {
		if _, ok := r.releasedRequests[s.Digest]; ok || r.heldRequests[s.Digest] != nil || s.Crashes <= 0 {
			continue
		}
		q, ok := r.requests[s.Digest]
		if !ok {
			r.makeRoomForRequest()
			q = &requestState{}
			r.requests[s.Digest] = q
		}
		if q.adopt(s, r.cfg.MinCrashes) {
			q.adoptedAt = now
			r.newEvidence, r.requestsValid = true, false
		}
	}
}

// adopt takes over the crashes of a suspect that are not known yet, up to a limit, and reports whether there are any. Crashes without
// a process may be the same as known ones.
func (q *requestState) adopt(s SuspectRequest, limit int) bool {
	before, n := q.adopted, s.Crashes
	for _, process := range s.Processes[:min(len(s.Processes), maxSuspectProcesses)] {
		switch {
		case slices.ContainsFunc(q.crashes, func(c requestCrash) bool { return c.crash.id == process }):
			n--
		case !slices.Contains(q.adoptedFrom, process) && len(q.adoptedFrom) < limit:
			q.adoptedFrom = append(q.adoptedFrom, process)
		}
	}
	q.adopted = max(q.adopted, min(n, limit), len(q.adoptedFrom))
	return q.adopted > before
}

// replaceAdopted stops counting the crash of a process as one of an earlier leader, since this one has a report of it.
func (q *requestState) replaceAdopted(process kwmembership.Process) {
	if i := slices.Index(q.adoptedFrom, process); i >= 0 {
		q.adoptedFrom = slices.Delete(q.adoptedFrom, i, i+1)
		q.adopted--
	}
}

func (q *requestState) forgetAdopted() { q.adopted, q.adoptedFrom = 0, nil }

// mergeSuspects returns the crashes of a request that two sources know.
func mergeSuspects(a, b SuspectRequest) SuspectRequest {
	processes := slices.Clone(a.Processes[:min(len(a.Processes), maxSuspectProcesses)])
	for _, process := range b.Processes {
		if len(processes) < maxSuspectProcesses && !slices.Contains(processes, process) {
			processes = append(processes, process)
		}
	}
	return SuspectRequest{Digest: a.Digest, Crashes: max(a.Crashes, b.Crashes, len(processes)), Processes: processes}
}
