package kwfake

import (
	"sync"
	"time"

	"knapweedproxy/core/kwsiteconfig"
)

// job is one step that waits for its tokens to be computed.
type job struct {
	left     int
	rank     int
	finished chan struct{}
	dropped  bool
}

// batcher runs iterations of continuous batching at a declared rate.
type batcher struct {
	perToken   time.Duration
	overhead   time.Duration
	maxBatch   int
	mu         sync.Mutex
	jobs       []*job
	iterations uint64
	arrived    chan struct{}
	stopped    chan struct{}
	once       sync.Once
}

// overheadShare is the part of a full iteration's time that does not depend on the tokens in it.
const overheadShare = 0.25

func newBatcher(rate float64, maxBatch int) *batcher {
	full := time.Duration(float64(maxBatch) / rate * float64(time.Second))
	overhead := time.Duration(float64(full) * overheadShare)
	return &batcher{
		perToken: (full - overhead) / time.Duration(maxBatch),
		overhead: overhead,
		maxBatch: maxBatch,
		arrived:  make(chan struct{}, 1),
		stopped:  make(chan struct{}),
	}
}

// wait queues tokens and returns when all are computed; false means that the engine or the caller stopped.
func (b *batcher) wait(tokens int, p kwsiteconfig.Priority, done <-chan struct{}) bool {
	j := &job{left: tokens, rank: priorityRank(p), finished: make(chan struct{})}
	b.mu.Lock()
	b.jobs = append(b.jobs, j)
	b.mu.Unlock()
	select {
	case b.arrived <- struct{}{}:
	default:
	}
	select {
	case <-j.finished:
		return true
	case <-b.stopped:
		return false
	case <-done:
		b.mu.Lock()
		j.dropped = true
		b.mu.Unlock()
		return false
	}
}

func (b *batcher) load() (queue int, iterations uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs), b.iterations
}

func (b *batcher) stop() {
	b.once.Do(func() { close(b.stopped) })
}

// run keeps a schedule of its own while it is busy, so that the rate holds although single sleeps are late; idle time
// earns nothing.
func (b *batcher) run() {
	due := time.Now()
	for {
		tokens, finished := b.iterate()
		if tokens == 0 {
			select {
			case <-b.arrived:
				due = later(due, time.Now())
				continue
			case <-b.stopped:
				return
			}
		}
		due = due.Add(b.overhead + time.Duration(tokens)*b.perToken)
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

// iterate takes the tokens of one iteration, interactive work first, and returns the jobs that it ends.
func (b *batcher) iterate() (tokens int, finished []*job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rank := range 2 {
		for _, j := range b.jobs {
			if j.rank != rank || j.dropped {
				continue
			}
			n := min(j.left, b.maxBatch-tokens)
			tokens += n
			j.left -= n
		}
	}
	var kept []*job
	for _, j := range b.jobs {
		switch {
		case j.dropped:
		case j.left == 0:
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
