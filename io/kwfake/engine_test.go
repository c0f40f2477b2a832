package kwfake

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"knapweedproxy/core/kwsiteconfig"
)

// TestBatcherKeepsItsRate guards against a batcher that counts idle gaps as credit and so exceeds its configured rate;
// with full batches it must also reach that rate.
func TestBatcherKeepsItsRate(t *testing.T) {
	for _, gap := range []time.Duration{0, time.Millisecond, 7 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			const rate, maxBatch, jobs, callers = 1000, 10, 3000, 30
			b := newBatcher(rate, maxBatch)
			go b.run()
			start := time.Now()
			var all sync.WaitGroup
			for range callers {
				all.Go(func() {
					for range jobs / callers {
						b.compute(1, kwsiteconfig.Interactive, nil)
						time.Sleep(gap)
					}
				})
			}
			all.Wait()
			b.stop()
			got := jobs / (time.Since(start) - gap).Seconds()
			if got > rate*1.001 {
				t.Errorf("gap %s: got %.0f tokens per second, want at most %d", gap, got, rate)
			}
			if gap == 0 && got < rate*0.99 {
				t.Errorf("got %.0f tokens per second at full batches, want %d", got, rate)
			}
		})
	}
}

// TestInteractiveRunsBeforeBatch checks that an iteration serves interactive jobs before batch jobs queued earlier.
func TestInteractiveRunsBeforeBatch(t *testing.T) {
	b := newBatcher(1000, 4)
	b.jobs = []*job{
		{tokensLeft: 4, rank: priorityRank(kwsiteconfig.Batch), finished: make(chan struct{})},
		{tokensLeft: 3, rank: priorityRank(kwsiteconfig.Interactive), finished: make(chan struct{})},
	}
	tokens, finished := b.planIteration()
	if tokens != 4 || len(finished) != 1 || finished[0].rank != 0 || b.jobs[0].tokensLeft != 3 {
		t.Errorf("got %d tokens, %d finished, %d left of the batch job, want 4, 1 and 3", tokens, len(finished), b.jobs[0].tokensLeft)
	}
}

func TestPrefixCacheIsBounded(t *testing.T) {
	p := newPrefixCache(2 * prefixBlockTokens)
	long := make([]uint64, 4*prefixBlockTokens)
	for i := range long {
		long[i] = uint64(i + 1)
	}
	if got := p.lookUp(long); got != 0 {
		t.Errorf("got %d cached tokens of a first prompt, want 0", got)
	}
	if got := p.recency.Len(); got != 2 {
		t.Errorf("got %d blocks kept, want 2", got)
	}
	short := []uint64{1, 2, 3}
	if got := p.lookUp(short); got != 0 {
		t.Errorf("got %d cached tokens of a short prompt, want 0", got)
	}
}
