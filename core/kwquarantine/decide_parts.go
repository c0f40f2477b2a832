package kwquarantine

import (
	"cmp"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// candidate is a part that qualifies for a quarantine, now or once it is settled.
type candidate struct {
	part  kwid.PromptPartID
	state *partState
	// with are, for a part that qualifies, those that were with it in all its requests on these crashes, and have not been sound since.
	with []kwid.PromptPartID
	// complete is the number of its crashes of which all entries have reported their requests.
	complete int
}

// firstQualifying returns, of the parts that qualify, the one with the oldest last sound request: a part that is in all requests
// that crash, and in others, has a later one. It passes over parts that yield to another one. Of parts that came together each time none
// is chosen: they are kept from servers together, until a crash or a sound request tells them apart. It answers rare parts, of which a
// few requests of one session crash servers and the next session comes seconds later.
func (r *Registry) firstQualifying(now time.Time) (candidate, bool) {
	repeating := r.repeatingRequests()
	var candidates []candidate
	for part, p := range r.parts {
		if r.implicated(p, repeating) {
			candidates = append(candidates, candidate{part: part, state: p, complete: p.crashesBefore(now.Add(-evidenceDelay))})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			a.state.soundAt.Compare(b.state.soundAt),
			cmp.Compare(len(b.state.crashes), len(a.state.crashes)),
			cmp.Compare(a.part, b.part),
		)
	})
	for _, c := range candidates {
		if at, ok := r.settledAt(c.state); !ok || now.Before(at) {
			continue
		}
		if !slices.ContainsFunc(candidates, func(other candidate) bool { return r.yields(now, c, other) }) {
			c.with = r.companions(c.part, c.state)
			return c, true
		}
	}
	return candidate{}, false
}

// companions returns, sorted, the other parts that were in each request with a part on its crashes, and have not been sound since the
// first of these.
func (r *Registry) companions(part kwid.PromptPartID, p *partState) []kwid.PromptPartID {
	var with []kwid.PromptPartID
	first := true
	for _, c := range p.crashes {
		for _, prompt := range c.crash.prompts {
			switch {
			case !slices.Contains(prompt, part):
			case first:
				first = false
				with = slices.DeleteFunc(slices.Clone(prompt), func(other kwid.PromptPartID) bool {
					return other == part || !r.onSameCrashes(other, p)
				})
			default:
				with = slices.DeleteFunc(with, func(other kwid.PromptPartID) bool { return !slices.Contains(prompt, other) })
			}
		}
	}
	if len(with) == 0 {
		return nil
	}
	slices.Sort(with)
	return slices.Compact(with)
}

// onSameCrashes reports whether all crashes under a part count against another one too.
func (r *Registry) onSameCrashes(other kwid.PromptPartID, p *partState) bool {
	o := r.parts[other]
	return o != nil && !slices.ContainsFunc(p.crashes, func(c partCrash) bool {
		return !slices.ContainsFunc(o.crashes, func(oc partCrash) bool { return oc.crash == c.crash })
	})
}

// yields reports whether a candidate leaves the decision to another one, which has more crashes and was in a request of each
// settled crash of the candidate. With as many crashes, it does so for another Settle, in which further crashes may tell the two
// apart. It answers rare parts, such as those of one session, that come with the crashing part and were never served.
func (r *Registry) yields(now time.Time, c, other candidate) bool {
	if c.part == other.part {
		return false
	}
	more := other.complete - c.complete
	settledAt, _ := r.settledAt(c.state)
	if more < 0 || more == 0 && !now.Before(settledAt.Add(r.cfg.Settle)) {
		return false
	}
	return !slices.ContainsFunc(c.state.crashes, func(own partCrash) bool {
		_, shared := own.crash.parts[other.part]
		return !shared && now.Sub(own.recordedAt) >= r.cfg.Settle
	})
}

// implicated reports whether enough servers crashed under a part, not all at one moment, and not under one of the requests that crash
// servers by themselves: such a request comes again with all its parts. The crashes of several of them implicate a part.
func (r *Registry) implicated(p *partState, repeating []kwid.RequestDigest) bool {
	if _, ok := r.decisiveCrash(p); !ok || p.unexplained() == 0 {
		return false
	}
	return !slices.ContainsFunc(repeating, func(digest kwid.RequestDigest) bool {
		others := 0
		for _, c := range p.crashes {
			if _, ok := c.crash.digests[digest]; !ok {
				others++
			}
		}
		return others < r.cfg.MinOtherCrashes
	})
}

// settledAt returns when entries have had the time to report sound requests of an implicated part, if servers have served anything
// since its decisive crash. After an outage, in which nothing was served for minOutage, a server has to crash under the part again:
// the requests that an outage ends crash nothing once service is back.
func (r *Registry) settledAt(p *partState) (time.Time, bool) {
	i, ok := r.decisiveCrash(p)
	if !ok || !p.crashes[i].precedes(p.served.servedAt) {
		return time.Time{}, false
	}
	from := p.served.reportedAt
	if p.served.servedAt.Sub(p.crashes[i].recordedAt) > minOutage {
		again := slices.IndexFunc(p.crashes, func(c partCrash) bool { return c.crash.recordedAt.After(p.served.servedAt) })
		if again < 0 {
			return time.Time{}, false
		}
		if at := p.crashes[again].recordedAt; at.After(from) {
			from = at
		}
	}
	return from.Add(r.cfg.Settle), true
}

// scheduleParts sets when the next of the implicated parts may be decided on without further evidence.
func (r *Registry) scheduleParts(now time.Time) {
	repeating := r.repeatingRequests()
	for _, p := range r.parts {
		if !r.implicated(p, repeating) {
			continue
		}
		settledAt, ok := r.settledAt(p)
		if !ok {
			continue
		}
		at := settledAt
		if !now.Before(at) {
			// The part yields to another one: for Settle at most, or until that is cleared.
			at = now.Add(evidenceDelay)
			if end := settledAt.Add(r.cfg.Settle); now.Before(end) && end.Before(at) {
				at = end
			}
		}
		r.evaluateBy(at)
	}
}
