package kwlimit

import (
	"sync"
	"time"
)

// Constants of the forecast.
const (
	// forecastSamples is how many answers must have been seen before a forecast is trusted.
	forecastSamples = 20
	// forecastAge is how old the newest answer may be.
	forecastAge = 5 * time.Second
	// forecastWeight is the weight of the newest answer in the running means.
	forecastWeight = 0.05
)

// Forecast estimates how long an answer of a model takes now; it is safe for concurrent use.
type Forecast struct {
	mu     sync.Mutex
	seen   int
	newest time.Time
	first  float64
	gap    float64
	tokens float64
}

// NewForecast returns a Forecast that knows nothing.
func NewForecast() *Forecast {
	return &Forecast{}
}

// Observe takes a complete answer: its time to the first token, its whole time and its tokens.
func (f *Forecast) Observe(now time.Time, first, whole time.Duration, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	weight := max(forecastWeight, 1/float64(f.seen+1))
	f.seen++
	f.newest = now
	f.first += weight * (first.Seconds() - f.first)
	f.tokens += weight * (float64(tokens) - f.tokens)
	if tokens > 1 {
		gap := (whole - first).Seconds() / float64(tokens-1)
		f.gap += weight * (gap - f.gap)
	}
}

// Estimate returns how long an answer of at most maxTokens takes; false means that too little is known.
func (f *Forecast) Estimate(now time.Time, maxTokens int) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen < forecastSamples || now.Sub(f.newest) > forecastAge {
		return 0, false
	}
	tokens := min(float64(maxTokens), f.tokens)
	return time.Duration((f.first + f.gap*max(0, tokens-1)) * float64(time.Second)), true
}
