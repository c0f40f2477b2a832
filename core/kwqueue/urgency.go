package kwqueue

import "time"

// Urgency says what a caller has to gain from being served soon. It orders requests of equal declared priority when more wait
// than can be served, as when all callers return after an outage.
type Urgency uint8

const (
	// Broken means that the caller holds a part of a stream that has broken off, and waits for the rest.
	Broken Urgency = iota
	// OnTime means that the request can still meet its latency objective.
	OnTime
	// Late means that the request has missed its latency objective.
	Late
)

// UrgencyOf returns the urgency of a request that its caller has waited for since the given time.
func UrgencyOf(now, waitingSince time.Time, objective time.Duration, broken bool) Urgency {
	switch {
	case broken:
		return Broken
	case now.Sub(waitingSince) > objective:
		return Late
	}
	return OnTime
}

const (
	// brokenPriority ranks broken streams before all other requests.
	brokenPriority = -1
	// ranksPerPriority is the number of ranks of one declared priority: a late request ranks behind those of its priority that can still be
	// on time, but before those of a less urgent one.
	ranksPerPriority = 2
	// latePenalty is the distance between the two.
	latePenalty = 1
	// brokenWaitFactor is how many latency objectives a broken stream may wait for another chain: callers leave after four without
	// an event, and one has passed.
	brokenWaitFactor = 3
	// lateWaitFactor is how many further latency objectives a late request may wait.
	lateWaitFactor = 2
)

// Priority returns the rank of a request in the queue of an entry; lower values are served first. A declared priority of 0 is the
// highest.
func (u Urgency) Priority(declared int) int {
	switch u {
	case Broken:
		return brokenPriority
	case Late:
		return declared*ranksPerPriority + latePenalty
	}
	return declared * ranksPerPriority
}

// WaitObjective returns the objective that bounds the wait of a request in the queue.
func (u Urgency) WaitObjective(objective time.Duration) time.Duration {
	switch u {
	case Broken:
		return brokenWaitFactor * objective
	case Late:
		return lateWaitFactor * objective
	}
	return objective
}

// LowestEnginePriority is the largest value of an engine's priorities; 0 is the most urgent.
const LowestEnginePriority = 9

// EnginePriority returns the priority at which engines admit a request whose declared priority is at a position among those of its
// service, in the same order as the queue. Engines admit prompts of several entries, so the order of one entry's queue does not suffice
// after an outage: without it, the prompts of callers that are late anyway delay those that are not, and streams that resume wait behind
// new ones. There are ten engine priorities: late requests of the least urgent priorities are not told apart from others if there are
// more than four, and priorities beyond the ninth not from each other.
func (u Urgency) EnginePriority(position, priorities int) int {
	if u == Broken {
		return 0
	}
	position = max(0, position)
	apart := max(0, LowestEnginePriority-max(1, priorities))
	rank := 1 + position + min(position, apart)
	if u == Late && position < apart {
		rank += latePenalty
	}
	return min(rank, LowestEnginePriority)
}
