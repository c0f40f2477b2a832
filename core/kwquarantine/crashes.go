package kwquarantine

import (
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// Evidence is a request that a process was serving when it crashed, or had answered shortly before.
type Evidence struct {
	// Crash is the process that crashed.
	Crash   kwmembership.Process
	Request kwid.RequestID
	// Digest identifies what the request asks for; entries of earlier versions report none.
	Digest kwid.RequestDigest
	// Answered is set if the process had answered the request.
	Answered bool
	// SoundAge is how long ago the reporting entry last saw a sound run of the request (Guard.SoundAge), 0 if it has not.
	SoundAge time.Duration
	// Age is how long ago the crash was first reported, to this leader or an earlier one.
	Age time.Duration
	// Parts are the shared parts of the prompt; empty if the request had received more than one event, or has no prompt. Then it
	// counts for its digest alone.
	Parts []kwid.PromptPartID
}

// crashState is a crash that is remembered until Memory after its first evidence.
type crashState struct {
	id         kwmembership.Process
	recordedAt time.Time
	// explained is set when a request with a quarantined part was among those that the crash ended; explainedBy is the quarantine, nil
	// if the crash counts for nothing.
	explained   bool
	explainedBy *quarantineState
	// prompts holds the parts of the requests that the crash ended, at most maxPromptsPerCrash.
	prompts [][]kwid.PromptPartID
	// parts holds the parts of the requests that the crash ended.
	parts map[kwid.PromptPartID]struct{}
	// digests holds the remembered requests that the crash ended, and heldBy how many of them are held.
	digests map[kwid.RequestDigest]struct{}
	heldBy  int
	// about is the number of unexplained crashes about the same time, as of the last decision.
	about int
}

// explainedWith reports whether the crash is explained by a quarantine of this part, alone or with others.
func (c *crashState) explainedWith(part kwid.PromptPartID) bool {
	return c.explainedBy != nil && c.explainedBy.has(part)
}

// partCrash is a crash under a part that no quarantine without the part explains.
type partCrash struct {
	crash *crashState
	// recordedAt is when the first evidence with the part was recorded.
	recordedAt time.Time
	// digests holds the requests with the part that the crash ended, at most maxDigestsPerPartCrash.
	digests []kwid.RequestDigest
}

// partState holds the crashes under a part since its last sound request.
type partState struct {
	crashes []partCrash
	soundAt time.Time
	// served is the first report of a sound request of any kind after the decisive crash; one from before it does not count.
	served servedReport
}

// crashesBefore returns the number of crashes under the part that were recorded before a point in time.
func (p *partState) crashesBefore(at time.Time) int {
	n := slices.IndexFunc(p.crashes, func(c partCrash) bool { return !c.recordedAt.Before(at) })
	if n < 0 {
		return len(p.crashes)
	}
	return n
}

// unexplained returns the number of crashes that no quarantine explains.
func (p *partState) unexplained() int {
	n := 0
	for _, c := range p.crashes {
		if !c.crash.explained {
			n++
		}
	}
	return n
}

// RecordCrash records a request that a crash has ended. A request with a quarantined part explains the crash, as one that is held
// does for all but its own parts; either fails its trial if that started before the crash.
func (r *Registry) RecordCrash(now time.Time, ev Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	age := max(ev.Age, 0)
	if age > r.cfg.Memory {
		return
	}
	r.noteHandover(now, age)
	at := now.Add(-age)
	crash := r.recordCrash(at, ev.Crash)
	parts := ev.Parts[:min(len(ev.Parts), maxPartsPerEvidence)]
	for _, part := range parts {
		q, ok := r.quarantined[part]
		if !ok || !q.keeps(parts) {
			continue
		}
		r.explain(crash, q)
		if crash.explainedBy == q {
			// The crash goes on counting for the parts of the quarantine, which a later crash may tell apart.
			for _, own := range append([]kwid.PromptPartID{q.part}, q.with...) {
				r.suspect(at, own, crash, ev.Digest)
			}
		}
		if !q.trialAt.IsZero() && !crash.recordedAt.Before(q.trialAt) {
			q.term = min(2*q.term, r.cfg.MaxTerm)
			q.until, q.trialAt = now.Add(q.term), time.Time{}
			r.changed = true
		}
	}
	if crash.explained {
		return
	}
	digest := ev.Digest
	if digest.IsZero() {
		digest = DigestRequest("", "", "", []byte(ev.Request))
	}
	r.suspectRequest(at, digest, crash, ev.Answered)
	if ev.SoundAge > 0 {
		r.recordSoundRequest(now, SoundRequest{Digest: digest, Age: ev.SoundAge})
	}
	if crash.heldBy > 0 && r.heldRequests[digest] == nil {
		return
	}
	if len(parts) > 0 && len(crash.prompts) < maxPromptsPerCrash {
		crash.prompts = append(crash.prompts, parts)
	}
	for _, part := range parts {
		r.suspect(at, part, crash, digest)
	}
}

// explainCrash stops a crash from counting, whatever evidence of it is recorded.
func (r *Registry) explainCrash(now time.Time, id kwmembership.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	r.explain(r.recordCrash(now, id), nil)
}

// recordCrash returns the state of a crash, which is new if this is the first evidence of it.
func (r *Registry) recordCrash(at time.Time, id kwmembership.Process) *crashState {
	if crash, ok := r.crashOf[id]; ok {
		return crash
	}
	if len(r.crashes) >= maxCrashes {
		r.forgetOldestCrash()
	}
	crash := &crashState{
		id: id, recordedAt: at, parts: make(map[kwid.PromptPartID]struct{}), digests: make(map[kwid.RequestDigest]struct{}),
	}
	r.crashes = insertByTime(r.crashes, crash, func(c *crashState) time.Time { return c.recordedAt })
	r.crashOf[id] = crash
	return crash
}

// suspect counts a crash that was first reported at a time against a part, unless the part was served soundly after it.
func (r *Registry) suspect(at time.Time, part kwid.PromptPartID, crash *crashState, digest kwid.RequestDigest) {
	if _, ok := crash.parts[part]; !ok && len(crash.parts) >= maxPartsPerCrash {
		return
	}
	crash.parts[part] = struct{}{}
	p, ok := r.parts[part]
	if !ok {
		r.makeRoom()
		p = &partState{}
		r.parts[part] = p
	}
	if !crash.recordedAt.After(p.soundAt) {
		return
	}
	r.newEvidence = true
	for i := range p.crashes {
		c := &p.crashes[i]
		if c.crash != crash {
			continue
		}
		if len(c.digests) < maxDigestsPerPartCrash && !slices.Contains(c.digests, digest) {
			c.digests = append(c.digests, digest)
		}
		return
	}
	if len(p.crashes) >= maxCrashesPerPart {
		i := r.unneededCrash(p)
		p.crashes = slices.Delete(p.crashes, i, i+1)
	}
	c := partCrash{crash: crash, recordedAt: at, digests: []kwid.RequestDigest{digest}}
	p.crashes = insertByTime(p.crashes, c, func(c partCrash) time.Time { return c.recordedAt })
	r.suspectsValid = false
}

// decisiveCrash returns the index of the crash that makes the crashes under a part enough for a decision: there are MinCrashes up
// to it, over MinSpread.
func (r *Registry) decisiveCrash(p *partState) (int, bool) {
	for i := r.cfg.MinCrashes - 1; i < len(p.crashes); i++ {
		if p.crashes[i].recordedAt.Sub(p.crashes[0].recordedAt) >= r.cfg.MinSpread {
			return i, true
		}
	}
	return 0, false
}

// unneededCrash returns the index of the oldest crash under a part that its decision does not need.
func (r *Registry) unneededCrash(p *partState) int {
	if i, ok := r.decisiveCrash(p); ok && i == r.cfg.MinCrashes-1 {
		return i + 1
	}
	return r.cfg.MinCrashes - 1
}

// makeRoom forgets the part whose latest crash is oldest if there are maxSuspects parts; those without crashes go first.
func (r *Registry) makeRoom() {
	if len(r.parts) < maxSuspects {
		return
	}
	var oldest kwid.PromptPartID
	var oldestAt time.Time
	found := false
	for part, p := range r.parts {
		var at time.Time
		if n := len(p.crashes); n > 0 {
			at = p.crashes[n-1].recordedAt
		}
		if order := at.Compare(oldestAt); !found || order < 0 || order == 0 && part < oldest {
			oldest, oldestAt, found = part, at, true
		}
	}
	delete(r.parts, oldest)
	r.suspectsValid = false
}

// explain stops a crash from counting against any part but those of the quarantine that explains it, if any.
func (r *Registry) explain(crash *crashState, by *quarantineState) {
	if crash.explained {
		return
	}
	crash.explained, crash.explainedBy = true, by
	r.removeExplained()
	r.removeFromRequests(crash)
}

// removeFromParts removes crashes from all parts.
func (r *Registry) removeFromParts(remove func(partCrash) bool) {
	for _, p := range r.parts {
		p.crashes = slices.DeleteFunc(p.crashes, remove)
	}
	r.suspectsValid = false
}

// Suspects returns, sorted, the parts of quarantines and those with unexplained crashes since their last sound request.
func (r *Registry) Suspects(now time.Time) []kwid.PromptPartID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	if !r.suspectsValid {
		r.suspects = slices.Collect(maps.Keys(r.quarantined))
		for _, q := range r.quarantined {
			r.suspects = append(r.suspects, q.with...)
		}
		for part, p := range r.parts {
			if len(p.crashes) > 0 {
				r.suspects = append(r.suspects, part)
			}
		}
		slices.Sort(r.suspects)
		r.suspects = slices.Compact(r.suspects)
		r.suspectsValid = true
	}
	return slices.Clone(r.suspects)
}

func (r *Registry) forgetOldestCrash() {
	oldest := r.crashes[0]
	r.crashes[0] = nil
	r.crashes = r.crashes[1:]
	delete(r.crashOf, oldest.id)
	r.removeFromParts(func(c partCrash) bool { return c.crash == oldest })
	if !oldest.explained {
		r.removeFromRequests(oldest)
	}
}
