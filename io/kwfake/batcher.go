package kwfake

import (
	"sync"
	"time"

	"knapweedproxy/core/kwsiteconfig"
)

// job is an engine step queued until all of its tokens have been computed.
type job struct {
	tokensLeft int
	// rank orders jobs: lower ranks run first.
	rank      int
	finished  chan struct{}
	cancelled bool
}

// batcher simulates continuous batching: it runs iterations of at most maxBatch tokens at a configured token rate.
type batcher struct {
	timePerToken      time.Duration
	iterationOverhead time.Duration
	maxBatch          int
	mu                sync.Mutex
	jobs              []*job
	iterations        uint64
	// wake notifies an idle run loop that a job has been queued.
	wake     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
}

// overheadFraction is the share of a full iteration's time that is spent regardless of the number of tokens in it.
const overheadFraction = 0.25

func newBatcher(rate float64, maxBatch int) *batcher {
	fullIteration := time.Duration(float64(maxBatch) / rate * float64(time.Second))
	iterationOverhead := time.Duration(float64(fullIteration) * overheadFraction)
	return &batcher{
		timePerToken:      (fullIteration - iterationOverhead) / time.Duration(maxBatch),
		iterationOverhead: iterationOverhead,
		maxBatch:          maxBatch,
		wake:              make(chan struct{}, 1),
		stopped:           make(chan struct{}),
	}
}

// compute queues tokens and blocks until the batcher has run all of them. It returns false if the engine stops or done
// closes first.
func (b *batcher) compute(tokens int, p kwsiteconfig.Priority, done <-chan struct{}) bool {
	j := &job{tokensLeft: tokens, rank: priorityRank(p), finished: make(chan struct{})}
	b.mu.Lock()
	b.jobs = append(b.jobs, j)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-j.finished:
		return true
	case <-b.stopped:
		return false
	case <-done:
		b.mu.Lock()
		j.cancelled = true
		b.mu.Unlock()
		return false
	}
}

// load returns the number of queued jobs and the number of iterations run so far.
func (b *batcher) load() (queue int, iterations uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs), b.iterations
}

func (b *batcher) stop() {
	b.stopOnce.Do(func() { close(b.stopped) })
}

// run executes iterations until stop is called. While jobs are queued, each iteration is due at a fixed time after the
// one before, so that late timers don't lower the token rate. Idle time gives no credit: after a pause the schedule
// restarts at the present time.
func (b *batcher) run() {
	due := time.Now()
	for {
		tokens, finished := b.planIteration()
		if tokens == 0 {
			select {
			case <-b.wake:
				due = later(due, time.Now())
				continue
			case <-b.stopped:
				return
			}
		}
		due = due.Add(b.iterationOverhead + time.Duration(tokens)*b.timePerToken)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		for _, j := range finished {
			close(j.finished)
		}
		select {
		case <-b.stopped:
			return
		default:
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// planIteration assigns the tokens of the next iteration, interactive jobs first, and returns their number and the jobs
// that the iteration completes.
func (b *batcher) planIteration() (tokens int, finished []*job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rank := range 2 {
		for _, j := range b.jobs {
			if j.rank != rank || j.cancelled {
				continue
			}
			n := min(j.tokensLeft, b.maxBatch-tokens)
			tokens += n
			j.tokensLeft -= n
		}
	}
	var kept []*job
	for _, j := range b.jobs {
		switch {
		case j.cancelled:
		case j.tokensLeft == 0:
			finished = append(finished, j)
		default:
			kept = append(kept, j)
		}
	}
	b.jobs = kept
	if tokens > 0 {
		b.iterations++
	}
	return tokens, finished
}
