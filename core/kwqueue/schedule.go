package kwqueue

import (
	"math"
	"slices"
	"time"
)

const (
	// scheduleShare is the share of the served rate that is promised to callers who come back. In the replays of
	// docs/design/19-queue-order.md, up to 0.11 of them are rejected again with 0.8 and up to 0.08 with 0.6; the rest covers entries that
	// get more of them than they have promised.
	scheduleShare = 0.6
	// scheduleWindow is the time constant of the rate that promises go by: an entry of 370 has less than one departure a second.
	scheduleWindow = 10 * time.Second
	// lessUrgentSlots is how many slots apart less urgent callers are promised room while more urgent ones are to come back, so that
	// there is room for the next of these.
	lessUrgentSlots = 2
)

// schedule holds the times at which rejected callers were told to come back. It answers callers that are rejected together: they would come
// back together, and most would be rejected again.
type schedule struct {
	slots []slot
	// served and departures count the requests whose answers have begun and those that have left, in the measured seconds; all fade with
	// scheduleWindow.
	served, departures, measured float64
	updated                      time.Time
}

type slot struct {
	at       time.Time
	declared int
}

func (s *schedule) fade(now time.Time) {
	if s.updated.IsZero() {
		s.updated = now
	}
	elapsed := now.Sub(s.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed / scheduleWindow.Seconds())
	s.served *= kept
	s.departures *= kept
	s.measured = s.measured*kept + scheduleWindow.Seconds()*(1-kept)
	s.updated = now
}

// interval returns the time between two slots, or 0 while no rate is known. While the load rises more requests are served than leave, and
// those that endpoints refuse leave without being served: the lesser of the two is what is freed for others.
func (s *schedule) interval() time.Duration {
	rate := min(s.served, s.departures) / max(s.measured, minSeconds) * scheduleShare
	if rate*scheduleWindow.Seconds() < scheduleShare/2 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// minSeconds keeps the division by the measured time finite.
const minSeconds = 1e-3

// reserve reserves the first slot between two times, or a place in the widest gap between slots if all are taken.
func (s *schedule) reserve(from, to time.Time, interval time.Duration, declared int) time.Time {
	apart := interval
	if slices.ContainsFunc(s.slots, func(x slot) bool { return x.declared < declared }) {
		apart *= lessUrgentSlots
	}
	at := from
	for _, x := range s.slots {
		if x.at.Sub(at) >= apart {
			break
		}
		if next := x.at.Add(apart); next.After(at) {
			at = next
		}
	}
	if at.After(to) {
		at = s.widestGap(from, to)
	}
	i, _ := slices.BinarySearchFunc(s.slots, at, func(x slot, t time.Time) int { return x.at.Compare(t) })
	s.slots = slices.Insert(s.slots, i, slot{at, declared})
	return at
}

// widestGap returns the middle of the longest time without a slot.
func (s *schedule) widestGap(from, to time.Time) time.Time {
	middle, widest := to, time.Duration(0)
	for i := range len(s.slots) + 1 {
		end := to
		if i < len(s.slots) && s.slots[i].at.Before(to) {
			end = s.slots[i].at
		}
		if gap := end.Sub(from); gap > widest {
			middle, widest = from.Add(gap/2), gap
		}
		if end.After(from) {
			from = end
		}
	}
	return middle
}

// Promise reserves a time at which a rejected caller is to come back, no earlier than the present queue has been served, and returns the
// time until then. Promises are spread over the room that comes free at the measured rate, the most urgent first, and stay within the
// bounds of the configuration: if more are given than these have room for, they are spread evenly.
func (q *Queue) Promise(now time.Time, declared int) time.Duration {
	earliest := q.RetryAfter(now)
	s := &q.schedule
	s.fade(now)
	interval := s.interval()
	if interval == 0 {
		return earliest
	}
	s.slots = slices.DeleteFunc(s.slots, func(x slot) bool { return x.at.Before(now) })
	return s.reserve(now.Add(earliest), now.Add(q.cfg.RetryAfterMax), interval, declared).Sub(now)
}
