package kwqueue

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// turns gives the waiting requests of one rank turns by workspace, as start-time fair queueing does: each request of a workspace belongs
// to a later round than the one before, and the first of a workspace to the present round. It answers a busy workspace whose requests
// would take all capacity, whether they wait together or each comes as soon as the one before has had its turn. A workspace that had its
// turn in the present round waits for the next one.
type turns struct {
	// round is the round of the last request that was the first of its rank.
	round int
	// last is the round of the last request of each workspace.
	last map[kwid.WorkspaceName]int
	// waiting is the number of requests of the rank.
	waiting int
}

// next returns the round of another request of a workspace.
func (t *turns) next(workspace kwid.WorkspaceName) int {
	if t == nil {
		return 0
	}
	if last, ok := t.last[workspace]; ok {
		return max(t.round, last+1)
	}
	return t.round
}

// nextRound returns the round of a request that is to join. A caller that comes back takes the turn of the first of its workspace that does
// not, and moves those to later rounds.
func (q *Queue) nextRound(w *Waiter) int {
	if w.Returning {
		for _, x := range q.waiters {
			if x.rank() == w.rank() && x.Workspace == w.Workspace && !x.Returning {
				return x.round
			}
		}
	}
	return q.turns[w.rank()].next(w.Workspace)
}

// insert adds a request to the queue in its round.
func (q *Queue) insert(w *Waiter) {
	t := q.turns[w.rank()]
	if t == nil {
		t = &turns{last: make(map[kwid.WorkspaceName]int)}
		q.turns[w.rank()] = t
	}
	w.round = q.nextRound(w)
	t.last[w.Workspace] = t.next(w.Workspace)
	t.waiting++
	if w.round < t.last[w.Workspace] {
		q.moveRounds(w, w.round, 1)
	}
	w.sequence = q.nextSequence
	q.nextSequence++
	q.insertSorted(w)
}

// leaveRound takes the turn of a request that has left the queue from its workspace. A request that was the first of its rank has had its
// turn; any other gives it to the next ones of its workspace, so that requests whose wait has ended cost it nothing.
func (q *Queue) leaveRound(w *Waiter, first bool) {
	t := q.turns[w.rank()]
	t.waiting--
	if t.waiting == 0 {
		delete(q.turns, w.rank())
		return
	}
	if first {
		t.round = w.round
		return
	}
	t.last[w.Workspace]--
	q.moveRounds(w, w.round+1, -1)
}

// moveRounds moves the requests of the same rank and workspace as a request, from a round on, to earlier or later rounds.
func (q *Queue) moveRounds(w *Waiter, from, by int) {
	moved := false
	for _, x := range q.waiters {
		if x.rank() == w.rank() && x.Workspace == w.Workspace && x.round >= from {
			x.round += by
			moved = true
		}
	}
	if moved {
		slices.SortFunc(q.waiters, compareWaiters)
	}
}
