package kwdrain

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedStop is a stop of an entry whose servers now and then fall silent, for as long as a sound server may.
type simulatedStop struct {
	rng *rand.Rand
	// perSecond is the number of calls a second. typical is the median of their times, spread that of its logarithm.
	perSecond, spread float64
	typical           time.Duration
	// silent is the share of calls whose server falls silent.
	silent float64
	drain  time.Duration
}

func newSimulatedStop(seed uint64) simulatedStop {
	rng := rand.New(rand.NewPCG(seed, 1))
	return simulatedStop{
		rng: rng, perSecond: []float64{0.5, 3, 20}[rng.IntN(3)], typical: time.Duration(float64(20*time.Millisecond) * math.Pow(100, rng.Float64())),
		spread: 0.5 * rng.Float64(), silent: []float64{0, 0.001, 0.01, 0.1}[rng.IntN(4)], drain: time.Duration(2+rng.IntN(9)) * time.Second,
	}
}

// callTime draws how long a call takes.
func (s simulatedStop) callTime() time.Duration {
	took := time.Duration(float64(s.typical) * math.Exp(s.spread*s.rng.NormFloat64()))
	if s.rng.Float64() < s.silent {
		took += time.Duration(s.rng.Float64() * 1.5 * float64(time.Second))
	}
	return took
}

// run plays a minute before the stop and the drain. It returns how many calls that arrived in the drain were passed on, and how many of them
// were cut.
func (s simulatedStop) run() (passedOn, cut int) {
	type callInProgress struct {
		end  time.Time
		call *Call
	}
	calls, now := NewCalls(), time.Unix(1000, 0)
	stop := now.Add(time.Minute)
	drainEnd := stop.Add(s.drain)
	var inProgress []callInProgress
	for ; now.Before(drainEnd); now = now.Add(time.Duration(s.rng.ExpFloat64() / s.perSecond * float64(time.Second))) {
		rest := inProgress[:0]
		for _, c := range inProgress {
			if c.end.After(now) {
				rest = append(rest, c)
				continue
			}
			calls.End(c.end, c.call, true)
		}
		inProgress = rest
		stopping := !now.Before(stop)
		if stopping && !calls.MayPassOn(now, "records", Limits{Deadline: now.Add(time.Minute), DrainEnd: drainEnd}) {
			continue
		}
		end := now.Add(s.callTime())
		inProgress = append(inProgress, callInProgress{end, calls.Begin(now, "records")})
		if stopping {
			passedOn++
			if end.After(drainEnd) {
				cut++
			}
		}
	}
	return passedOn, cut
}

// TestSimulatedStopsCutNothing guards against calls that arrive in a stop and are cut, since the first silence of a server in a minute meets
// them.
func TestSimulatedStopsCutNothing(t *testing.T) {
	t.Parallel()
	const stops = 10_000
	total := 0
	for seed := range uint64(stops) {
		passedOn, cut := newSimulatedStop(seed).run()
		total += passedOn
		if cut > 0 {
			t.Errorf("seed %d: got %d of %d calls cut, want none", seed, cut, passedOn)
		}
	}
	t.Logf("%d calls passed on in %d stops", total, stops)
}
