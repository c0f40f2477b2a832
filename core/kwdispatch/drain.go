package kwdispatch

import (
	"maps"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

// maxLateProbability is the probability of being cut off with which a stopping entry still accepts a stream: a rejected stream
// costs its caller one attempt, a cut one the whole answer.
const maxLateProbability = 0.01

// EndsInTime reports whether an answer can be expected to end before the entry exits. It answers a planned stop under load, in
// which the load balancer goes on sending callers for some seconds: a long stream that begins then would be cut off at the end of
// the grace period, while another entry can serve it whole. A zero exit time means that the entry keeps running.
func (f *Forecast) EndsInTime(
	now time.Time, chain kwchainsearch.Chain, estimatedTokens, maxTokens int, firstEvent time.Duration, exit time.Time,
) bool {
	return exit.IsZero() || f.LateProbability(now, chain, estimatedTokens, maxTokens, firstEvent, exit.Sub(now)) <= maxLateProbability
}

// minHandOverGain is by how much the probability of being cut off must fall for a stream to be handed over, which costs a retry and
// the processing of its prompt.
const minHandOverGain = 0.1

// HandOver reserves a faster chain for a stream of a stopping entry that may not end before the exit, if there is one on which it is
// more likely to. It answers streams that turn out longer than estimated, or whose chain has become slow since it was chosen. The
// first endpoint of the present chain is not used again, since it may still be at work on the stream.
func (d *Dispatcher) HandOver(now time.Time, fleet Fleet, r Request, present kwchainsearch.Chain, p Progress) (kwchainsearch.Chain, bool) {
	forecast := d.forecastFor(r.Service)
	if r.Exit.IsZero() || !forecast.learned() || p.EstimatedTokens <= 0 || p.Tokens <= 0 || p.TokenTime <= 0 {
		return kwchainsearch.Chain{}, false
	}
	left := r.Exit.Sub(now)
	here := forecast.lateProbabilityHere(p, left)
	if here < minHandOverGain {
		return kwchainsearch.Chain{}, false
	}
	r.Excluded = maps.Clone(r.Excluded)
	if r.Excluded == nil {
		r.Excluded = make(map[kwid.EndpointID]bool)
	}
	r.Excluded[present.First().Endpoint] = true
	chain, ok := d.choose(now, fleet, r, true, d.excludedFor(now, r), func(chain kwchainsearch.Chain) bool {
		firstEvent := d.latencyOf(chain.First().Endpoint).Estimate(now, chain.PrefillTime+chain.TokenTime)
		return here-forecast.lateProbabilityOn(chain, p, firstEvent, left) >= minHandOverGain
	})
	if ok {
		d.grant(now, chain, r)
	}
	return chain, ok
}

// Observe records how long an answer of a service was and took.
func (d *Dispatcher) Observe(now time.Time, service kwid.ServiceName, a Answer) {
	f, ok := d.forecasts[service]
	if !ok {
		f = new(Forecast)
		d.forecasts[service] = f
	}
	f.Observe(now, a)
}

// forecastFor returns the forecast for a service, without observations if there are none.
func (d *Dispatcher) forecastFor(service kwid.ServiceName) *Forecast {
	if f, ok := d.forecasts[service]; ok {
		return f
	}
	return new(Forecast)
}

// acceptChain returns what keeps a request from chains that would not end its answer before the entry exits, or nil. A broken
// stream is served as far as possible.
func (d *Dispatcher) acceptChain(now time.Time, r Request) func(kwchainsearch.Chain) bool {
	if r.Exit.IsZero() || r.Broken {
		return nil
	}
	return func(chain kwchainsearch.Chain) bool { return d.EndsInTime(now, chain, r) }
}

// EndsInTime reports whether a chain can be expected to end the answer to a request before the entry exits.
func (d *Dispatcher) EndsInTime(now time.Time, chain kwchainsearch.Chain, r Request) bool {
	firstEvent := d.latencyOf(chain.First().Endpoint).Estimate(now, chain.PrefillTime+chain.TokenTime)
	return d.forecastFor(r.Service).EndsInTime(now, chain, r.AnswerTokens, r.MaxAnswerTokens, firstEvent, r.Exit)
}

// endsLate reports whether chains have room for a request, but none would end its answer before the entry exits.
func (d *Dispatcher) endsLate(now time.Time, fleet Fleet, r Request) bool {
	accept := d.acceptChain(now, r)
	if accept == nil {
		return false
	}
	if _, ok := d.choose(now, fleet, r, true, d.excludedFor(now, r), accept); ok {
		return false
	}
	_, ok := d.choose(now, fleet, r, true, d.excludedFor(now, r), nil)
	return ok
}
