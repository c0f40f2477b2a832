package kwendpointlimit

import (
	"math"
	"time"
)

const (
	// turnLife is how long a turn to send a request stays valid at an entry that has less than one in that time. Without it, many
	// entries with small shares would save up one request each and could send them all at once.
	turnLife = time.Second
	// burstTime bounds what an entry with a larger share saves up, and so what a limited endpoint gets at one moment.
	burstTime = 200 * time.Millisecond
)

// advance adds the turns that have come since the last update, and drops those that were not used in time; the caller holds the lock.
func (l *Limits) advance(now time.Time, k *limit) {
	if end := k.loan.until; k.updated.Before(end) && now.After(end) {
		l.advanceTo(end, k)
	}
	l.advanceTo(now, k)
}

// advanceTo is advance over a time in which the share does not change.
func (l *Limits) advanceTo(now time.Time, k *limit) {
	if !now.After(k.updated) {
		return
	}
	share := float64(l.share(k.updated, k))
	k.turns += share * now.Sub(k.updated).Seconds()
	k.updated = now
	whole, part := math.Modf(k.turns)
	k.turns = min(whole, max(1, math.Floor(share*burstTime.Seconds()))) + part
}

// wait returns how long until the next turn at a rate, 0 if it has come and is still valid.
func (k *limit) wait(share Rate) time.Duration {
	if k.turns >= 1 {
		_, part := math.Modf(k.turns)
		if part <= float64(share)*turnLife.Seconds() {
			return 0
		}
		return secondsUp((1 - part) / float64(share))
	}
	return secondsUp((1 - k.turns) / float64(share))
}

// secondsUp converts seconds to a duration and rounds up, so that a turn that is waited for has come.
func secondsUp(s float64) time.Duration {
	return time.Duration(math.Ceil(min(s, maxTime.Seconds())*float64(time.Second))) + time.Microsecond
}
