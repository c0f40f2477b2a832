package kwlimit

import (
	"sync"
	"time"
)

const (
	// minSamples is the number of responses needed for an estimate.
	minSamples = 20
	// maxSampleAge bounds the age of the newest response. There is no estimate from older ones, so that requests are admitted
	// again after a slow period in which all were rejected.
	maxSampleAge = 5 * time.Second
	// newestWeight is the weight of the newest response in the moving averages.
	newestWeight = 0.05
)

// Forecast estimates how long a response of a model takes at present. It is safe for concurrent use.
type Forecast struct {
	mu       sync.Mutex
	samples  int
	newestAt time.Time
	// Moving averages; times are in seconds.
	firstToken    float64
	tokenInterval float64
	tokens        float64
}

// NewForecast returns a Forecast without samples.
func NewForecast() *Forecast {
	return &Forecast{}
}

// Observe adds a completed response: its time to the first token, its total time and its number of tokens.
func (f *Forecast) Observe(now time.Time, firstToken, total time.Duration, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	weight := max(newestWeight, 1/float64(f.samples+1))
	f.samples++
	f.newestAt = now
	f.firstToken += weight * (firstToken.Seconds() - f.firstToken)
	f.tokens += weight * (float64(tokens) - f.tokens)
	if tokens > 1 {
		tokenInterval := (total - firstToken).Seconds() / float64(tokens-1)
		f.tokenInterval += weight * (tokenInterval - f.tokenInterval)
	}
}

// Estimate returns how long a response of at most maxTokens takes. It returns false without enough recent responses.
func (f *Forecast) Estimate(now time.Time, maxTokens int) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.samples < minSamples || now.Sub(f.newestAt) > maxSampleAge {
		return 0, false
	}
	tokens := min(float64(maxTokens), f.tokens)
	return time.Duration((f.firstToken + f.tokenInterval*max(0, tokens-1)) * float64(time.Second)), true
}
