package kwdispatch

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

func TestEndsInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	const firstEvent = 110 * time.Millisecond
	chain := kwchainsearch.Chain{PrefillTime: 100 * time.Millisecond, TokenTime: 10 * time.Millisecond}
	cases := []struct {
		name   string
		tokens int
		left   time.Duration
		// want and wantUnlearned are the decisions with and without answers to learn from.
		want, wantUnlearned bool
	}{
		{"short answer, just stopping", 100, 7 * time.Second, true, true},
		{"long answer, just stopping", 600, 7 * time.Second, false, false},
		{"long answer, long grace period", 600, 30 * time.Second, true, true},
		{"short answer, stop nearly over", 100, time.Second, false, false},
		{"answer that takes 0.3 of the time left", 60, 2 * time.Second, true, true},
		{"answer that takes half of the time left", 90, 2 * time.Second, true, false},
		{"answer that takes nine tenths of the time left", 170, 2 * time.Second, false, false},
	}
	// Answers that differ little from what is expected.
	var learned Forecast
	for i := range 100 {
		deviation := 1 + 0.2*float64(i%3-1)
		learned.Observe(now.Add(-time.Hour), Answer{
			EstimatedTokens: 50 + 10*i, ExpectedTokenTime: chain.TokenTime,
			Tokens: int(float64(50+10*i) * deviation), TokenTime: chain.TokenTime,
		})
	}
	for name, f := range map[string]*Forecast{"nothing learned": {}, "learned": &learned} {
		for _, c := range cases {
			want := c.want
			if f != &learned {
				want = c.wantUnlearned
			}
			if got := f.EndsInTime(now, chain, c.tokens, 0, firstEvent, now.Add(c.left)); got != want {
				t.Errorf("%s, %s: got %v, want %v", name, c.name, got, want)
			}
		}
		if !f.EndsInTime(now, chain, 1_000_000, 0, firstEvent, time.Time{}) {
			t.Errorf("%s, entry that keeps running: got false, want true", name)
		}
		if f.EndsInTime(now, chain, 10, 0, 2*time.Second, now.Add(time.Second)) {
			t.Errorf("%s, prompt that waits at its server until the end: got true, want false", name)
		}
	}
}

// stopPattern is the load of an entry that stops.
type stopPattern struct {
	name string
	// lengthSpread is the standard deviation of the logarithm of an answer's length, estimateSpread that of its estimate, and
	// paceSpread that of a chain's time per token against the expected one.
	lengthSpread, estimateSpread, paceSpread float64
	// slowdown multiplies the time per token while other entries stop too.
	slowdown float64
	// age is how long the entry has run when it stops; zero means that all answers since its start have ended.
	age time.Duration
}

// stopOutcome counts what became of the streams that reach a stopping entry.
type stopOutcome struct {
	streams, cut, rejected int
}

func (o stopOutcome) shares() (cut, rejected float64) {
	return float64(o.cut) / float64(o.streams), float64(o.rejected) / float64(o.streams)
}

const (
	simulatedGrace = 8 * time.Second
	// simulatedLameDuck is how long callers still reach a stopping entry.
	simulatedLameDuck  = 2300 * time.Millisecond
	simulatedMaxTokens = 600
)

// stopRule decides whether a stopping entry accepts a stream.
type stopRule func(f *Forecast, chain kwchainsearch.Chain, estimate int, left time.Duration) bool

// factorRule accepts a stream if a multiple of its expected time is left.
func factorRule(factor float64) stopRule {
	return func(_ *Forecast, chain kwchainsearch.Chain, estimate int, left time.Duration) bool {
		return time.Duration(factor*float64(chain.AnswerTime(estimate))) <= left
	}
}

// longestRule accepts a stream if the longest answer that its caller allows would end in time.
func longestRule(_ *Forecast, chain kwchainsearch.Chain, _ int, left time.Duration) bool {
	return chain.AnswerTime(simulatedMaxTokens) <= left
}

func forecastRule(f *Forecast, chain kwchainsearch.Chain, estimate int, left time.Duration) bool {
	now := time.Unix(1000, 0)
	return f.EndsInTime(now, chain, estimate, 0, chain.PrefillTime+chain.TokenTime, now.Add(left))
}

// simulateStops plays stops of an entry, with the answers before each to learn from.
func simulateStops(p stopPattern, rule stopRule) stopOutcome {
	const stops, answersBefore, streamsPerStop = 100, 200, 40
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	spread := func(sd float64) float64 { return math.Exp(sd * rng.NormFloat64()) }
	draw := func() (chain kwchainsearch.Chain, estimate, tokens int, pace time.Duration) {
		tokens = int(min(simulatedMaxTokens, max(3, 150*spread(p.lengthSpread))))
		estimate = int(min(simulatedMaxTokens, max(3, float64(tokens)*spread(p.estimateSpread))))
		pace = time.Duration(11 * float64(time.Millisecond) * spread(0.18))
		chain.PrefillTime = 40 * time.Millisecond
		chain.TokenTime = time.Duration(1.2 * float64(pace) * spread(p.paceSpread))
		return chain, estimate, tokens, pace
	}
	var o stopOutcome
	for range stops {
		var f Forecast
		for range answersBefore {
			chain, estimate, tokens, pace := draw()
			end := now.Add(-time.Hour)
			if p.age > 0 {
				end = now.Add(-time.Duration(rng.Int64N(int64(p.age)))).Add(time.Duration(tokens) * pace)
			}
			if !end.After(now) {
				f.Observe(end, Answer{EstimatedTokens: estimate, ExpectedTokenTime: chain.TokenTime, Tokens: tokens, TokenTime: pace})
			}
		}
		for range streamsPerStop {
			chain, estimate, tokens, pace := draw()
			left := simulatedGrace - time.Duration(rng.Int64N(int64(simulatedLameDuck)))
			o.streams++
			if !rule(&f, chain, estimate, left) {
				o.rejected++
				continue
			}
			took := chain.PrefillTime + time.Duration(float64(tokens)*float64(pace)*p.slowdown)
			if took > left {
				o.cut++
			}
		}
	}
	return o
}

// TestStoppingEntryWeighsStreams plays stops under load with rules for which streams a stopping entry accepts. The forecast must
// not cut off more than its limit, and must reject fewer streams than the longest answer as a bound; where estimates are far
// off, it must halve what a fixed factor cuts off, and where they are good, it must reject fewer streams than the factor.
func TestStoppingEntryWeighsStreams(t *testing.T) {
	patterns := []struct {
		stopPattern
		goodEstimates bool
	}{
		{stopPattern{"estimates right in the median but far off", 0.8, 0.5, 0.35, 1, 0}, false},
		{stopPattern{"chains slow down while other entries stop", 0.8, 0.5, 0.35, 1.15, 0}, false},
		{stopPattern{"entry that has started 5 s before", 0.8, 0.5, 0.35, 1, 5 * time.Second}, false},
		{stopPattern{"entry that has started 12 s before", 0.8, 0.5, 0.35, 1, 12 * time.Second}, false},
		{stopPattern{"good estimates, expected times too long", 0.8, 0.03, 0.05, 1, 0}, true},
	}
	for _, p := range patterns {
		factorCut, factorRejected := simulateStops(p.stopPattern, factorRule(1.25)).shares()
		doubleCut, doubleRejected := simulateStops(p.stopPattern, factorRule(2)).shares()
		longestCut, longestRejected := simulateStops(p.stopPattern, longestRule).shares()
		cut, rejected := simulateStops(p.stopPattern, forecastRule).shares()
		t.Logf("%s: cut %.4f, rejected %.3f; factor 1.25: %.4f, %.3f; factor 2: %.4f, %.3f; longest answer: %.4f, %.3f",
			p.name, cut, rejected, factorCut, factorRejected, doubleCut, doubleRejected, longestCut, longestRejected)
		if cut > maxLateProbability {
			t.Errorf("%s: got %.4f cut, want %.4f at most", p.name, cut, maxLateProbability)
		}
		if rejected > longestRejected {
			t.Errorf("%s: got %.3f rejected, want %.3f at most, as with the longest answer", p.name, rejected, longestRejected)
		}
		if p.goodEstimates && rejected > factorRejected {
			t.Errorf("%s: got %.3f rejected, want %.3f at most, as with a factor", p.name, rejected, factorRejected)
		}
		if !p.goodEstimates && cut > factorCut/2 {
			t.Errorf("%s: got %.4f cut, want %.4f at most, half of what a factor cuts", p.name, cut, factorCut/2)
		}
	}
}

// TestForecastFollowsChains guards against a forecast that takes a chain that is expected to be slow for as fast as the usual ones.
func TestForecastFollowsChains(t *testing.T) {
	f := learnedForecast()
	const tokens, left = 200, 4 * time.Second
	usual := f.LateProbability(time.Unix(1000, 0), kwchainsearch.Chain{TokenTime: 10 * time.Millisecond}, tokens, 0, 0, left)
	slow := f.LateProbability(time.Unix(1000, 0), kwchainsearch.Chain{TokenTime: 40 * time.Millisecond}, tokens, 0, 0, left)
	if usual > 0.2 || slow < 0.8 {
		t.Errorf("got probabilities %.3f on a usual chain and %.3f on one four times as slow, want 0.2 at most and 0.8 at least", usual, slow)
	}
}

// learnedForecast returns a forecast that has learned from answers whose lengths differ from their estimates.
func learnedForecast() Forecast {
	var f Forecast
	rng := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		estimate := 50 + rng.IntN(400)
		f.Observe(time.Time{}.Add(time.Second), Answer{
			EstimatedTokens: estimate, ExpectedTokenTime: 10 * time.Millisecond, TokenTime: 10 * time.Millisecond,
			Tokens: max(1, int(float64(estimate)*math.Exp(0.4*rng.NormFloat64()))),
		})
	}
	return f
}

func TestHandOver(t *testing.T) {
	now := time.Unix(1000, 0)
	present := kwchainsearch.Chain{Stages: []kwchainsearch.Stage{{Endpoint: "z0-slow-0"}}}
	slow := Progress{EstimatedTokens: 300, MaxTokens: 600, Tokens: 100, TokenTime: 40 * time.Millisecond}
	nearEnd, fast, beyond := slow, slow, slow
	nearEnd.Tokens = 595
	fast.TokenTime = 8 * time.Millisecond
	beyond.Tokens = 400
	isFast := func(id kwid.EndpointID) bool { return strings.Contains(string(id), "fast") }
	cases := []struct {
		name        string
		progress    Progress
		left        time.Duration
		unavailable func(kwid.EndpointID) bool
		want        bool
	}{
		{"slow chain, a faster one", slow, 5 * time.Second, nil, true},
		{"slow chain, longer than estimated", beyond, 5 * time.Second, nil, true},
		{"slow chain, no other one", slow, 5 * time.Second, func(kwid.EndpointID) bool { return true }, false},
		{"slow chain, ample time", slow, 5 * time.Minute, nil, false},
		{"slow chain, about to end by its bound", nearEnd, 5 * time.Second, nil, false},
		{"slow chain, no time for any other", slow, 50 * time.Millisecond, nil, false},
		{"fast chain", fast, 5 * time.Second, nil, false},
		{"entry that keeps running", slow, 0, nil, false},
	}
	for _, c := range cases {
		d := New(Config{
			Entry: "e", Zone: "z0", Queue: kwqueue.DefaultConfig(),
			Unavailable: func(_ time.Time, id kwid.EndpointID) bool { return c.unavailable != nil && c.unavailable(id) },
		})
		learned := learnedForecast()
		d.forecasts[""] = &learned
		r := request(now)
		r.Size = kwchainsearch.RequestSize{TotalTokens: 1000, PromptTokens: 800}
		if c.left > 0 {
			r.Exit = now.Add(c.left)
		}
		chain, got := d.HandOver(now, zonedFleet(), r, present, c.progress)
		if got != c.want {
			t.Errorf("%s: got hand-over %v, want %v", c.name, got, c.want)
		}
		if got && (!isFast(chain.First().Endpoint) || len(d.Loads().Own()) == 0) {
			t.Errorf("%s: got chain %v with loads %v, want a fast chain that is reserved", c.name, chain, d.Loads().Own())
		}
		delete(d.forecasts, "")
		if _, got := d.HandOver(now, zonedFleet(), r, present, c.progress); got {
			t.Errorf("%s, nothing learned: got a hand-over, want none", c.name)
		}
	}
}

// TestHandOverSavesStreams plays streams of stopping entries whose chains are slow, beside one that is as fast as usual. Handing
// them over must save a third of those that would be cut, at the price of few that would have ended in time.
func TestHandOverSavesStreams(t *testing.T) {
	const streams, step, usualPace = 4000, 250 * time.Millisecond, 10 * time.Millisecond
	const firstEvent = 100 * time.Millisecond
	other := kwchainsearch.Chain{TokenTime: usualPace}
	f := learnedForecast()
	rng := rand.New(rand.NewPCG(5, 6))
	var cut, saved, harmed, handedOver int
	for range streams {
		estimate := 50 + rng.IntN(400)
		tokens := max(1, int(float64(estimate)*math.Exp(0.4*rng.NormFloat64())))
		pace := time.Duration(float64(usualPace) * (1 + rng.Float64()))
		left := simulatedGrace - time.Duration(rng.Int64N(int64(simulatedLameDuck)))
		late := time.Duration(tokens)*pace > left
		if late {
			cut++
		}
		for at := 2 * step; at < min(left, time.Duration(tokens)*pace); at += step {
			p := Progress{EstimatedTokens: estimate, Tokens: int(at / pace), TokenTime: pace}
			here := f.lateProbabilityHere(p, left-at)
			if here-f.lateProbabilityOn(other, p, firstEvent, left-at) < minHandOverGain {
				continue
			}
			handedOver++
			end := at + firstEvent + time.Duration(tokens-p.Tokens)*usualPace
			switch {
			case late && end <= left:
				saved++
			case !late && end > left:
				harmed++
			}
			break
		}
	}
	t.Logf("of %d streams %d would be cut; %d handed over, %d saved, %d harmed", streams, cut, handedOver, saved, harmed)
	if saved < cut/3 {
		t.Errorf("got %d of %d cut streams saved, want %d at least", saved, cut, cut/3)
	}
	if harmed > saved/20 {
		t.Errorf("got %d streams cut that would have ended in time, want %d at most", harmed, saved/20)
	}
}
