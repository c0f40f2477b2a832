package kwendpointlimit

import (
	"math"
	"slices"
	"time"

	"knapweedproxy/core/kwmembership"
)

const (
	// useWindow is the time constant of the moving average of what an entry uses of a limit.
	useWindow = 5 * time.Second
	// keptShare is the part of its even share that an entry never yields, so that it can begin to use an endpoint again at once.
	keptShare = 0.25
	// useHeadroom is how many times its use an entry keeps of its even share.
	useHeadroom = 1.5
	// wantTime is for how long an entry that found no turn counts as short of them, and an entry yields nothing of a new limit.
	wantTime = 5 * time.Second
	// yieldTerm is for how long a report may be on its way to a leader that lends what it yields.
	yieldTerm = 10 * time.Second
	// startTime is for how long an entry that has just started keeps to keptShare: until the loans of what its predecessor yielded end.
	startTime = 2 * loanTerm
)

// Want records that a request would have been sent to a process if there had been a turn.
func (l *Limits) Want(now time.Time, p kwmembership.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.limitOf(p); ok {
		k.wantedAt = now
	}
}

// yield returns what this entry does not need of its even share, in parts of the whole limit; the caller holds the lock.
func (l *Limits) yield(now time.Time, k *limit) (part float64, short bool) {
	if now.Sub(k.wantedAt) < wantTime {
		return 0, true
	}
	if now.Sub(k.began) < wantTime || now.Sub(k.lenderAt) > startTime {
		return 0, false
	}
	even := 1 / float64(l.entries)
	used := useHeadroom * float64(k.use/max(k.notice.Rate, probeRate))
	return max(0, even-max(used, keptShare*even)), false
}

// addYield records what this entry reports to yield. Earlier yields that are no larger end before it and need not be kept.
func (k *limit) addYield(now time.Time, part float64) {
	k.yields = slices.DeleteFunc(k.yields, func(t timedPart) bool { return t.part <= part })
	k.yields = append(k.yields, timedPart{part, now.Add(yieldTerm)})
}

// endYields ends all yields but the last one, which the leader has confirmed, at the time when no loan of them is left.
func (k *limit) endYields(at time.Time) {
	for i := range max(0, len(k.yields)-1) {
		if at.Before(k.yields[i].until) {
			k.yields[i].until = at
		}
	}
}

// addUse adds requests to the moving average of the use.
func (k *limit) addUse(now time.Time, requests int) {
	if elapsed := now.Sub(k.usedAt).Seconds(); elapsed > 0 {
		k.use *= Rate(math.Exp(-elapsed / useWindow.Seconds()))
		k.usedAt = now
	}
	k.use = max(0, k.use+Rate(float64(requests)/useWindow.Seconds()))
}
