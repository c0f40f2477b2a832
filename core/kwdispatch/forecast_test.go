package kwdispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// usualChain has the time per token that the answers of these tests take.
var usualChain = kwchainsearch.Chain{TokenTime: 10 * time.Millisecond}

// soundAnswer returns an answer whose length is right in the median.
func soundAnswer(rng *rand.Rand) Answer {
	estimate := 50 + rng.IntN(400)
	return Answer{
		EstimatedTokens: estimate, ExpectedTokenTime: usualChain.TokenTime, TokenTime: usualChain.TokenTime,
		Tokens: max(1, int(float64(estimate)*math.Exp(0.4*rng.NormFloat64()))),
	}
}

// TestForecastBoundsAbsurdEstimates guards against callers whose estimates are absurd and spoil the forecast for all others.
func TestForecastBoundsAbsurdEstimates(t *testing.T) {
	now := time.Unix(1000, 0)
	huge, tiny := Answer{EstimatedTokens: 1 << 50, Tokens: 10}, Answer{EstimatedTokens: 1, Tokens: 600}
	cases := []struct {
		name   string
		absurd Answer
		// first, last and beside are the numbers of absurd answers before, after and between 100 sound ones.
		first, last, beside int
	}{
		{"none", huge, 0, 0, 0},
		{"huge estimate, first", huge, 1, 0, 0},
		{"huge estimate, last", huge, 0, 1, 0},
		{"huge estimate, every sixth", huge, 0, 0, 20},
		{"huge estimate, every second", huge, 0, 0, 100},
		{"tiny estimate, first", tiny, 1, 0, 0},
		{"tiny estimate, last", tiny, 0, 1, 0},
		{"tiny estimate, every sixth", tiny, 0, 0, 20},
	}
	for _, c := range cases {
		var f Forecast
		observe := func(a Answer, n int) {
			a.ExpectedTokenTime, a.TokenTime = usualChain.TokenTime, usualChain.TokenTime
			for range n {
				f.Observe(now.Add(-time.Hour), a)
			}
		}
		rng := rand.New(rand.NewPCG(1, 2))
		observe(c.absurd, c.first)
		for i := range 100 {
			observe(soundAnswer(rng), 1)
			observe(c.absurd, c.beside*(i+1)/100-c.beside*i/100)
		}
		observe(c.absurd, c.last)
		if got := f.LateProbability(now, usualChain, 20, 0, 0, 4*time.Second); got > maxLateProbability {
			t.Errorf("%s: got probability %.4f that an answer of 0.2 s takes longer than 4 s, want %v at most", c.name, got, maxLateProbability)
		}
		if got := f.LateProbability(now, usualChain, 600, 0, 0, 4*time.Second); got < 0.1 {
			t.Errorf("%s: got probability %.4f that an answer of 6 s takes longer than 4 s, want 0.1 at least", c.name, got)
		}
	}
	if got := new(Forecast).LateProbability(now, usualChain, math.MaxInt, 0, 0, time.Second); got != 1 {
		t.Errorf("nothing learned, endless answer: got probability %v, want 1", got)
	}
}

// TestForecastLearnsBias checks that estimates that are all wrong by the same large factor are learned from nevertheless.
func TestForecastLearnsBias(t *testing.T) {
	now := time.Unix(1000, 0)
	var f Forecast
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		a := soundAnswer(rng)
		a.EstimatedTokens *= 40
		f.Observe(now.Add(-time.Hour), a)
	}
	if got := f.LateProbability(now, usualChain, 4000, 0, 0, 4*time.Second); got > maxLateProbability {
		t.Errorf("got probability %.4f that an answer of 1 s takes longer than 4 s, want %v at most", got, maxLateProbability)
	}
}

// TestMaxAnswerTokensBoundsLateness guards against rejections of streams that even the longest answer that their caller allows would
// let end in time.
func TestMaxAnswerTokensBoundsLateness(t *testing.T) {
	now := time.Unix(1000, 0)
	f := learnedForecast()
	cases := []struct {
		name           string
		estimate, most int
		left           time.Duration
		want           bool
	}{
		{"no bound", 200, 0, 4 * time.Second, false},
		{"bound at the estimate", 200, 200, 4 * time.Second, true},
		{"bound at the estimate, too little time", 200, 200, 1900 * time.Millisecond, false},
		{"bound above the time left", 200, 600, 4 * time.Second, false},
		{"short answer with a high bound", 20, 4000, 4 * time.Second, true},
	}
	for _, c := range cases {
		d := New(Config{Entry: "e", Queue: kwqueue.DefaultConfig()})
		d.forecasts[""] = &f
		r := Request{AnswerTokens: c.estimate, MaxAnswerTokens: c.most, Exit: now.Add(c.left)}
		chain := usualChain
		chain.Stages = []kwchainsearch.Stage{{Endpoint: "z0-fast-0"}}
		if got := d.EndsInTime(now, chain, r); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestForecastPerService guards against a service whose estimates are far off and that spoils the forecast for the others, and against
// forecasts of services that are no longer there.
func TestForecastPerService(t *testing.T) {
	now := time.Unix(1000, 0)
	const exact, vague = kwid.ServiceName("exact"), kwid.ServiceName("vague")
	d := New(Config{Entry: "e", Queue: kwqueue.DefaultConfig()})
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		a := soundAnswer(rng)
		a.Tokens = max(1, int(float64(a.EstimatedTokens)*math.Exp(rng.NormFloat64())))
		d.Observe(now.Add(-time.Hour), vague, a)
		a.Tokens = a.EstimatedTokens
		d.Observe(now.Add(-time.Hour), exact, a)
	}
	chain := usualChain
	chain.Stages = []kwchainsearch.Stage{{Endpoint: "z0-fast-0"}}
	for service, want := range map[kwid.ServiceName]bool{exact: true, vague: false, "other": false} {
		r := Request{Service: service, AnswerTokens: 200, Exit: now.Add(2500 * time.Millisecond)}
		if got := d.EndsInTime(now, chain, r); got != want {
			t.Errorf("%s: got %v that an answer of 2 s ends within 2.5 s, want %v", service, got, want)
		}
	}
	d.RetainServices(func(name kwid.ServiceName) bool { return name == vague })
	if _, ok := d.forecasts[vague]; !ok || len(d.forecasts) != 1 {
		t.Errorf("got %d forecasts, with the known service %v, want only its own", len(d.forecasts), ok)
	}
}

// TestForecastOfUnusualAnswer guards against streams that have come so far beyond their estimates that the forecast takes their end to
// be imminent.
func TestForecastOfUnusualAnswer(t *testing.T) {
	var f Forecast
	for i := range 50 {
		f.Observe(time.Unix(0, 0), Answer{EstimatedTokens: 100, Tokens: 100 + i%2, ExpectedTokenTime: usualChain.TokenTime, TokenTime: usualChain.TokenTime})
	}
	for _, tokens := range []int{110, 150, 200, 300, 1000} {
		p := Progress{EstimatedTokens: 100, Tokens: tokens, TokenTime: usualChain.TokenTime}
		if got := f.lateProbabilityHere(p, 100*time.Millisecond); got < 0.9 {
			t.Errorf("%d tokens of 100: got probability %.4f that the answer takes longer than 0.1 s, want 0.9 at least", tokens, got)
		}
		slow := p
		slow.TokenTime = 5 * usualChain.TokenTime
		left := time.Duration(tokens) * usualChain.TokenTime
		here, there := f.lateProbabilityHere(slow, left), f.lateProbabilityOn(usualChain, slow, 0, left)
		if here-there < minHandOverGain {
			t.Errorf("%d tokens of 100: got probability %.4f to be late here and %.4f on a chain five times as fast, want a gain of %v", tokens, here, there, minHandOverGain)
		}
		p.MaxTokens = tokens + 5
		if got := f.lateProbabilityHere(p, 100*time.Millisecond); got != 0 {
			t.Errorf("%d tokens of at most %d: got probability %.4f that the answer takes longer than 0.1 s, want 0", tokens, p.MaxTokens, got)
		}
	}
	p := Progress{EstimatedTokens: 100, Tokens: 90, TokenTime: usualChain.TokenTime}
	if got := f.lateProbabilityHere(p, 200*time.Millisecond); got > maxLateProbability {
		t.Errorf("usual answer: got probability %.4f that it takes longer than 0.2 s, want %v at most", got, maxLateProbability)
	}
}
