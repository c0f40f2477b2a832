package kwhedge

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// The replayed fleet: calls of 40 ms (median) of which 1 in 100 takes ten times as long, at servers with a few slots each.
const (
	replayServers  = 24
	replaySlots    = 4
	replayMedian   = 40 * time.Millisecond
	replayCapacity = 1940.0 // requests a second, with the mean of 49.4 ms
	replayShare    = 0.02
	maxReplayWait  = 350 * time.Millisecond
	recheck        = 100 * time.Millisecond
)

// serverID holds the IDs of the servers.
var serverID = func() (out [replayServers]kwid.EndpointID) {
	for i := range out {
		out[i] = kwid.EndpointID(fmt.Sprint("server-", i))
	}
	return out
}()

// replayPolicy is when a request is hedged.
type replayPolicy struct {
	name  string
	share float64
	// delay replaces the quantile if it is set; once looks at a request once only; saved replaces how long a hedge may be saved.
	delay time.Duration
	once  bool
	saved time.Duration
}

type replayEvent struct {
	at time.Time
	do func(now time.Time)
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type replay struct {
	events   replayEvents
	random   *rand.Rand
	policy   replayPolicy
	start    time.Time
	inFlight []int
	pace     []float64
	load     replayLoad
	hedgers  []*Hedger
	waiting  []int
	// sent numbers the requests; the counts are of those after the warm-up; work is the time that servers spent.
	sent, requests, hedges, rejected int
	work                             time.Duration
	latencies                        []time.Duration
	// hedgesOf counts the hedges of each tenth of a second.
	hedgesOf map[int64]int
	// allHedges counts those of the warm-up, too.
	allHedges int
}

func (r *replay) at(t time.Time, do func(time.Time)) { heap.Push(&r.events, replayEvent{t, do}) }
func (r *replay) paceOf(now time.Time, server int) float64 {
	if !r.measured(now) {
		return 1
	}
	if stall := now.Sub(r.start) - r.load.warmUp - 5*time.Second; r.load.stalls && stall >= 0 && stall < time.Second {
		return 10
	}
	return r.pace[server]
}

func (r *replay) measured(now time.Time) bool { return now.Sub(r.start) >= r.load.warmUp }

// pick returns the less loaded of two servers, or false if both are full.
func (r *replay) pick(exclude int, usable func(int) bool) (int, bool) {
	a, b := r.random.IntN(replayServers), r.random.IntN(replayServers)
	if a == exclude || r.inFlight[b] < r.inFlight[a] && b != exclude {
		a = b
	}
	return a, a != exclude && r.inFlight[a] < replaySlots && usable(a)
}

// send begins an attempt and returns what ends it; its time is drawn alike under all policies.
func (r *replay) send(now time.Time, server int, draw *rand.Rand, answered func(time.Time)) (end func(time.Time)) {
	took := time.Duration(float64(replayMedian) * math.Exp(0.5*draw.NormFloat64()) * r.paceOf(now, server))
	if draw.IntN(100) == 0 {
		took *= 10
	}
	r.inFlight[server]++
	ended := false
	r.at(now.Add(took), func(now time.Time) {
		if !ended {
			answered(now)
		}
	})
	return func(at time.Time) {
		ended = true
		r.inFlight[server]--
		if r.measured(now) {
			r.work += at.Sub(now)
		}
	}
}

// request serves a request of an entry that arrived at a time and waits for a server since.
func (r *replay) request(now, arrived time.Time, entry int, draw *rand.Rand, queued bool) {
	h, class := r.hedgers[entry], Class{"records", "lookups"}
	server, ok := r.pick(-1, func(int) bool { return true })
	if !ok && now.Sub(arrived) < maxReplayWait {
		if !queued {
			r.waiting[entry]++
		}
		r.at(now.Add(recheck), func(now time.Time) { r.request(now, arrived, entry, draw, true) })
		return
	}
	if queued {
		r.waiting[entry]--
	}
	if !ok {
		if r.measured(now) {
			r.rejected++
		}
		return
	}
	var ends [2]func(time.Time)
	done := false
	finish := func(at time.Time) {
		done = true
		if r.measured(now) {
			r.latencies = append(r.latencies, at.Sub(arrived))
		}
		if h.On() {
			h.RecordLatency(at, class, serverID[server], at.Sub(now))
		}
		for _, end := range ends {
			if end != nil {
				end(at)
			}
		}
	}
	ends[0] = r.send(now, server, draw, finish)
	delay, ok := h.Delay(now, class)
	if r.policy.delay > 0 {
		delay, ok = r.policy.delay, true
	}
	if !h.On() || !ok {
		return
	}
	var look func(time.Time)
	look = func(at time.Time) {
		if done {
			return
		}
		held := Situation{Repeatable: true, Queued: r.waiting[entry] > 0}.HeldBack()
		if held == NotHeldBack {
			other, ok := r.pick(server, func(i int) bool { return !h.Slow(at, serverID[i]) })
			if ok && h.Spend(at, "records", allow) == NotHeldBack {
				r.allHedges++
				if r.measured(now) {
					r.hedges++
					r.hedgesOf[at.UnixMilli()/100]++
				}
				ends[1] = r.send(at, other, draw, finish)
				return
			}
		}
		if !r.policy.once {
			r.at(at.Add(50*time.Millisecond), look)
		}
	}
	r.at(now.Add(delay), look)
}

// replayLoad is a load in shares of the capacity, with some servers that turn slow after the warm-up, or all for a second.
type replayLoad struct {
	name   string
	load   float64
	slow   int
	stalls bool
	// warmUp is the time until entries know the latencies, length what is measured after it; go test -v measures for longer.
	warmUp, length time.Duration
}

// runReplay replays a load on a fleet.
func runReplay(entries int, load replayLoad, policy replayPolicy) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(1, 2)), policy: policy, start: time.Unix(1000, 0), inFlight: make([]int, replayServers),
		pace: slices.Repeat([]float64{1}, replayServers), waiting: make([]int, entries),
		hedgesOf: make(map[int64]int), load: load,
	}
	cfg := DefaultConfig()
	if policy.saved > 0 {
		cfg.MaxSaved = policy.saved
	}
	for i := range load.slow {
		r.pace[i] = 5
	}
	for i := range entries {
		h := New(cfg, kwid.NodeID(fmt.Sprint("entry-", i)))
		h.SetShare(policy.share)
		r.hedgers = append(r.hedgers, h)
	}
	var arrive func(time.Time)
	arrive = func(now time.Time) {
		if now.Sub(r.start) > load.warmUp+load.length {
			return
		}
		entry := r.random.IntN(entries)
		if r.measured(now) {
			r.requests++
		}
		if r.hedgers[entry].On() {
			r.hedgers[entry].RecordRequest(now, "records")
		}
		r.at(now.Add(time.Duration(r.random.ExpFloat64()/(load.load*replayCapacity)*float64(time.Second))), arrive)
		r.sent++
		r.request(now, now, entry, rand.New(rand.NewPCG(3, uint64(r.sent))), false)
	}
	r.at(r.start, arrive)
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(replayEvent)
		next.do(next.at)
	}
	slices.Sort(r.latencies)
	return r
}

func (r *replay) percentile(p float64) time.Duration {
	return r.latencies[int(p*float64(len(r.latencies)))].Round(time.Millisecond)
}

// peak returns the most hedges in a tenth of a second, in shares of the requests of that time.
func (r *replay) peak() float64 {
	most := 0
	for _, n := range r.hedgesOf {
		most = max(most, n)
	}
	return float64(most) / (float64(r.requests) / r.load.length.Seconds() / 10)
}

func (r *replay) hedged() float64 { return float64(r.hedges) / float64(r.requests) }

// TestReplay guards against hedges beyond the limit, against ones that take capacity in an overload, and against ones that help nobody.
// The log has the table of docs/design/20-hedged-requests.md.
func TestReplay(t *testing.T) {
	t.Parallel()
	weighed := []replayPolicy{
		{name: "looked at once", share: replayShare, once: true},
		{name: "saved for a minute", share: replayShare, saved: time.Minute},
		{name: "after 250 ms", share: replayShare, delay: 250 * time.Millisecond},
		{name: "two at once", share: replayShare, delay: time.Nanosecond},
		{name: "p95, no limit", share: 0.999, delay: 0},
	}
	calm := replayLoad{name: "calm", load: 0.4, warmUp: 5 * time.Second, length: 6 * time.Second}
	overload := replayLoad{name: "overload", load: 1.3, warmUp: 6 * time.Second, length: 2 * time.Second}
	if testing.Verbose() {
		calm.length, overload.length = 60*time.Second, 30*time.Second
	}
	slow, stalled := calm, calm
	slow.name, slow.slow = "slow servers", 3
	stalled.name, stalled.stalls = "stall of all", true
	loads := []replayLoad{calm, slow, overload}
	if testing.Verbose() {
		loads = append(loads, stalled)
	}
	for _, load := range loads {
		without := runReplay(8, load, replayPolicy{})
		show := func(entries int, name string, r *replay) {
			t.Logf("%-12s %3d entries, %-18s: p50 %v, p99 %v, p99.9 %v, hedged %.4f, at most %.3f, work %+.4f, rejected %.3f", load.name, entries, name,
				r.percentile(0.5), r.percentile(0.99), r.percentile(0.999), r.hedged(), r.peak(), float64(r.work)/float64(without.work)-1,
				float64(r.rejected)/float64(r.requests))
		}
		show(8, "off", without)
		for _, entries := range []int{8, 70, 370} {
			if entries == 370 && load.load < 1 {
				// Entries with two requests a second take longer to measure enough of them.
				load.warmUp = 20 * time.Second
			}
			with := runReplay(entries, load, replayPolicy{share: replayShare})
			show(entries, "chosen", with)
			if got := float64(with.allHedges) / float64(with.sent); got > replayShare {
				t.Errorf("%s, %d entries: got %.4f of the requests hedged, want at most %v", load.name, entries, got, replayShare)
			}
			// The chance hedges of 370 entries, each with two requests a second, change less than what the draws differ by.
			got, want := with.percentile(0.99), without.percentile(0.99)
			if load.load < 1 && !load.stalls && entries < 370 && got >= want {
				t.Errorf("%s, %d entries: got p99 %v with hedges, want less than the %v without", load.name, entries, got, want)
			}
			if load.load > 1 && with.hedged() > replayShare/4 {
				t.Errorf("%s, %d entries: got %.4f of the requests hedged, want next to none", load.name, entries, with.hedged())
			}
			if load.load < 1 && entries > 8 && testing.Verbose() {
				for _, policy := range weighed {
					show(entries, policy.name, runReplay(entries, load, policy))
				}
			}
		}
	}
}
