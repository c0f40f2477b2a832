package kwdispatch

import (
	"time"

	"knapweedproxy/core/kwchainsearch"
)

// maxLateProbability is the probability of being cut off with which a stopping entry still accepts a stream: a rejected stream
// costs its caller one attempt, a cut one the whole answer.
const maxLateProbability = 0.02

// EndsInTime reports whether an answer can be expected to end before the entry exits. It answers a planned stop under load, in
// which the load balancer goes on sending callers for some seconds: a long stream that begins then would be cut off at the end of
// the grace period, while another entry can serve it whole. A zero exit time means that the entry keeps running.
func (f *Forecast) EndsInTime(now time.Time, chain kwchainsearch.Chain, estimatedTokens int, firstEvent time.Duration, exit time.Time) bool {
	return exit.IsZero() || f.LateProbability(chain, estimatedTokens, firstEvent, exit.Sub(now)) <= maxLateProbability
}

// Observe records how long an answer was and took.
func (d *Dispatcher) Observe(a Answer) { d.forecast.Observe(a) }

// acceptChain returns what keeps a request from chains that would not end its answer before the entry exits, or nil. A broken
// stream is served as far as possible.
func (d *Dispatcher) acceptChain(now time.Time, r Request) func(kwchainsearch.Chain) bool {
	if r.Exit.IsZero() || r.Broken {
		return nil
	}
	return func(chain kwchainsearch.Chain) bool {
		firstEvent := d.latencyOf(chain.First().Endpoint).Estimate(now, chain.PrefillTime+chain.TokenTime)
		return d.forecast.EndsInTime(now, chain, r.AnswerTokens, firstEvent, r.Exit)
	}
}

// endsLate reports whether chains have room for a request, but none would end its answer before the entry exits.
func (d *Dispatcher) endsLate(now time.Time, fleet Fleet, r Request) bool {
	accept := d.acceptChain(now, r)
	if accept == nil {
		return false
	}
	if _, ok := d.choose(now, fleet, r, true, accept); ok {
		return false
	}
	_, ok := d.choose(now, fleet, r, true, nil)
	return ok
}
