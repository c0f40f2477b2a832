package kwdispatch

import (
	"math"
	"time"

	"knapweedproxy/core/kwchainsearch"
)

const (
	// forecastDecay is the weight that an observation keeps with each later one: what is learned is about the last hundred answers.
	forecastDecay = 0.99
	// minForecastWeight is the weight of observations below which a forecast goes by the expected time alone.
	minForecastWeight = 10
	// minForecastAge is how long a forecast must have learned, in multiples of the time in which an answer is to end: of the
	// answers of an entry that has just started, only the short ones have ended.
	minForecastAge = 2
	// minVariance bounds the variance of a learned logarithm, for fleets in which all answers are alike.
	minVariance = 1e-4
	// maxEstimateDeviation is how many times as far off as usual an estimate may be; one that is further off counts as this far.
	maxEstimateDeviation = 4
	// minReachProbability is the probability of having come so far below which an answer is unlike all that was learned.
	minReachProbability = 1e-6
	// usualErrorStep is by how much one answer moves the logarithm of the usual error of estimates.
	usualErrorStep = 0.05
)

// trend is a linear relation between the logarithms of two quantities, with the spread around it. Old observations fade.
type trend struct {
	weight, sumX, sumY, sumXX, sumXY, sumYY float64
}

func (t *trend) observe(x, y float64) {
	x, y = math.Log(x), math.Log(y)
	for _, s := range []struct {
		sum   *float64
		value float64
	}{{&t.weight, 1}, {&t.sumX, x}, {&t.sumY, y}, {&t.sumXX, x * x}, {&t.sumXY, x * y}, {&t.sumYY, y * y}} {
		*s.sum = forecastDecay**s.sum + s.value
	}
}

// at returns the mean and the variance of the logarithm of y for a value of x. A slope beyond 0 and 1 would extrapolate noise, and
// values of x that hardly differ show none: y is taken to be proportional to x then.
func (t *trend) at(x float64) (mean, variance float64) {
	meanX, meanY := t.sumX/t.weight, t.sumY/t.weight
	varX := t.sumXX/t.weight - meanX*meanX
	cov := t.sumXY/t.weight - meanX*meanY
	slope := 1.0
	if varX > minVariance {
		slope = min(1, max(0, cov/varX))
	}
	variance = t.sumYY/t.weight - meanY*meanY - 2*slope*cov + slope*slope*varX
	return meanY + slope*(math.Log(x)-meanX), max(minVariance, variance)
}

// Forecast learns from answers how long those to come will take: callers estimate lengths that are right in the median but often
// far off, and the time that a chain takes per token depends less on the load at the moment of choice than the estimate of it
// does. It is not safe for concurrent use.
type Forecast struct {
	// length relates the length of an answer to its estimate, pace the time per token to the expected one.
	length, pace trend
	// usualError follows the median of the logarithm of estimate to length, which single answers hardly move.
	usualError float64
	// began is when the first answer was observed.
	began time.Time
}

// Answer is an answer of a chain: what was expected of it, and what came.
type Answer struct {
	// EstimatedTokens and ExpectedTokenTime were expected.
	EstimatedTokens   int
	ExpectedTokenTime time.Duration
	// Tokens is the number of tokens that came, and TokenTime the time per token after the first event.
	Tokens    int
	TokenTime time.Duration
}

// Observe records an answer that has ended.
func (f *Forecast) Observe(now time.Time, a Answer) {
	if a.EstimatedTokens <= 0 || a.Tokens <= 0 {
		return
	}
	if f.began.IsZero() {
		f.began = now
	}
	f.length.observe(f.plausibleEstimate(a), float64(a.Tokens))
	if a.TokenTime > 0 && a.ExpectedTokenTime > 0 {
		f.pace.observe(float64(a.ExpectedTokenTime), float64(a.TokenTime))
	}
}

// plausibleEstimate returns the estimate of an answer within bounds. It answers callers that estimate anything: their answers must not
// tell how long those of others take.
func (f *Forecast) plausibleEstimate(a Answer) float64 {
	limit, usual := math.Log(maxEstimateDeviation), f.usualError
	deviation := math.Log(float64(a.EstimatedTokens)/float64(a.Tokens)) - usual
	f.usualError += max(-usualErrorStep, min(usualErrorStep, deviation))
	return float64(a.Tokens) * math.Exp(usual+max(-limit, min(limit, deviation)))
}

func (f *Forecast) learned() bool {
	return f.length.weight >= minForecastWeight && f.pace.weight >= minForecastWeight
}

// LateProbability returns the probability that an answer of a chain that begins after firstEvent takes longer than left. A maxTokens of
// zero means that the caller has set no bound.
func (f *Forecast) LateProbability(
	now time.Time, chain kwchainsearch.Chain, estimatedTokens, maxTokens int, firstEvent, left time.Duration,
) float64 {
	writing := left - firstEvent
	if writing <= 0 {
		return 1
	}
	if estimatedTokens <= 0 || chain.TokenTime <= 0 {
		return 0
	}
	if !f.learned() || now.Sub(f.began) < minForecastAge*left {
		if unlearnedTimeFactor*float64(chain.TokenTime)*float64(estimatedTokens) > float64(writing) {
			return 1
		}
		return 0
	}
	length, lengthVariance := f.length.at(float64(estimatedTokens))
	pace, paceVariance := f.pace.at(float64(chain.TokenTime))
	late := normalExceeds((math.Log(float64(writing)) - length - pace) / math.Sqrt(lengthVariance+paceVariance))
	if maxTokens > 0 {
		late = min(late, normalExceeds((math.Log(float64(writing)/float64(maxTokens))-pace)/math.Sqrt(paceVariance)))
	}
	return late
}

// Progress is how far an answer has come.
type Progress struct {
	EstimatedTokens int
	// MaxTokens bounds the length of the answer; zero means that the caller has set no bound.
	MaxTokens int
	// Tokens is the number of tokens that have come, and TokenTime the time per token so far.
	Tokens    int
	TokenTime time.Duration
}

// lateProbabilityHere returns the probability that an answer in progress takes longer than left on its present chain.
func (f *Forecast) lateProbabilityHere(p Progress, left time.Duration) float64 {
	return f.lateProbabilityAfter(p, float64(left)/float64(p.TokenTime), 0)
}

// lateProbabilityOn returns the probability that an answer in progress takes longer than left if it goes on on another chain, after
// firstEvent.
func (f *Forecast) lateProbabilityOn(chain kwchainsearch.Chain, p Progress, firstEvent, left time.Duration) float64 {
	pace, variance := f.pace.at(float64(chain.TokenTime))
	return f.lateProbabilityAfter(p, float64(left-firstEvent)/math.Exp(pace), variance)
}

// lateProbabilityAfter returns the probability that more tokens are left than a number whose logarithm has the given variance.
func (f *Forecast) lateProbabilityAfter(p Progress, tokens, variance float64) float64 {
	if tokens <= 0 {
		return 1
	}
	end := float64(p.Tokens) + tokens
	if p.MaxTokens > 0 && end >= float64(p.MaxTokens) {
		return 0
	}
	length, lengthVariance := f.length.at(float64(p.EstimatedTokens))
	soFar := normalExceeds((math.Log(float64(p.Tokens)) - length) / math.Sqrt(lengthVariance))
	if soFar < minReachProbability {
		// What was learned says nothing of such an answer: it goes on for as long again in the median.
		return float64(p.Tokens) / end
	}
	longer := normalExceeds((math.Log(end) - length) / math.Sqrt(lengthVariance+variance))
	return min(1, longer/soFar)
}

// unlearnedTimeFactor is how many times its expected time an answer may take until answers have been observed.
const unlearnedTimeFactor = 3

// normalExceeds returns the probability that a standard normal variable exceeds z.
func normalExceeds(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
