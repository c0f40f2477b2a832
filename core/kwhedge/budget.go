package kwhedge

import "time"

// budget allows hedges up to a share of the requests that it has counted. Unlike a token bucket it has no burst: each hedge that has been
// earned is lost after maxSaved, however few an entry earns.
type budget struct {
	// fraction is the part of the next hedge that has been earned. It begins below 0 by the entry's phase, so that entries that start
	// together do not earn their hedges together.
	fraction float64
	// earned holds when the hedges at hand were earned, the oldest first.
	earned []time.Time
}

// recordRequest earns share of a hedge.
func (b *budget) recordRequest(now time.Time, share float64, maxSaved time.Duration) {
	b.expire(now, maxSaved)
	if b.fraction += share; b.fraction >= 1 {
		b.fraction--
		b.earned = append(b.earned, now)
	}
}

// available reports whether a hedge is at hand.
func (b *budget) available(now time.Time, maxSaved time.Duration) bool {
	b.expire(now, maxSaved)
	return len(b.earned) > 0
}

// spend takes the oldest hedge at hand.
func (b *budget) spend() { b.earned = b.earned[1:] }

// expire drops what has been saved for too long.
func (b *budget) expire(now time.Time, maxSaved time.Duration) {
	for len(b.earned) > 0 && now.Sub(b.earned[0]) >= maxSaved {
		b.earned = b.earned[1:]
	}
}
