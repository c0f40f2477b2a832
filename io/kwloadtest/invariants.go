package kwloadtest

import (
	"net/http"
	"sync"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwdemo"
	"knapweedproxy/io/kwfake"
)

// invariantChecker checks invariants and counts violations and errors. Except for merge, it is safe for concurrent use.
type invariantChecker struct {
	mu               sync.Mutex
	results          map[string]Invariant
	errorCodes       map[kwcode.Code]int
	answeredWrites   map[string]bool
	wholeAnswers     int
	truncatedAnswers int
}

// invariantOrder is the order of the invariants in a report.
var invariantOrder = []string{
	invariantLayers, invariantWholeAnswer, invariantNotRun, invariantAtMostOnce, invariantDurableWrite, invariantDrained, invariantGracefulStop,
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{
		results:        make(map[string]Invariant),
		errorCodes:     make(map[kwcode.Code]int),
		answeredWrites: make(map[string]bool),
	}
}

// check counts one check of an invariant. The caller must hold the lock.
func (c *invariantChecker) check(name string, holds bool) {
	result := c.results[name]
	result.Name = name
	result.Checked++
	if !holds {
		result.Violations++
	}
	c.results[name] = result
}

// checkChat checks an answer against the reference answer. A request refused as not run satisfies the invariant of
// whole answers; a stream that ends with any other error violates it.
func (c *invariantChecker) checkChat(prompt string, maxTokens int, got kwdemo.Answer, err error) {
	want, _, _ := kwfake.ReferenceAnswer(modelLayers, kwdemo.RenderPrompt(prompt), maxTokens)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.check(invariantWholeAnswer, false)
		c.truncatedAnswers++
	case got.Error != nil:
		c.errorCodes[got.Error.Code]++
		notRun := got.Error.Outcome == kwcode.NotRun
		c.check(invariantWholeAnswer, notRun)
		if !notRun {
			c.truncatedAnswers++
		}
	default:
		c.wholeAnswers++
		c.check(invariantWholeAnswer, got.Done)
		c.check(invariantLayers, got.Text == want)
	}
}

// checkWrite checks the answer to a write against the counters of the records service.
func (c *invariantChecker) checkWrite(f *kwdemo.Fleet, body string, got kwdemo.Answer, err error) {
	runs := f.WriteRuns("/alerts", body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.check(invariantWholeAnswer, false)
	case got.Error != nil:
		c.errorCodes[got.Error.Code]++
		if got.Error.Outcome == kwcode.NotRun {
			c.check(invariantNotRun, runs == 0)
		}
	case got.Status == http.StatusOK:
		c.answeredWrites[body] = true
		c.check(invariantDurableWrite, runs >= 1)
	}
}

// checkWriteCounts checks at the end of a run that no write ran twice.
func (c *invariantChecker) checkWriteCounts(f *kwdemo.Fleet) {
	counts := f.RecordStore.Counts()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range counts.Writes {
		c.check(invariantAtMostOnce, w.Count <= 1)
	}
}

// checkDrained checks that a drained endpoint has received no calls.
func (c *invariantChecker) checkDrained(calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(invariantDrained, calls == 0)
}

// checkGracefulStops counts each chat request of a run without faults as a check that planned stops cut off nothing.
func (c *invariantChecker) checkGracefulStops() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.wholeAnswers {
		c.check(invariantGracefulStop, true)
	}
	for range c.truncatedAnswers {
		c.check(invariantGracefulStop, false)
	}
}

// merge adds the counts of another checker, whose run must have ended.
func (c *invariantChecker) merge(other *invariantChecker) {
	for name, result := range other.results {
		sum := c.results[name]
		sum.Name = name
		sum.Checked += result.Checked
		sum.Violations += result.Violations
		c.results[name] = sum
	}
	for code, n := range other.errorCodes {
		c.errorCodes[code] += n
	}
}

func (c *invariantChecker) invariants() []Invariant {
	var out []Invariant
	for _, name := range invariantOrder {
		result := c.results[name]
		result.Name = name
		out = append(out, result)
	}
	return out
}

func (c *invariantChecker) errorCounts() []ErrorCount {
	out := []ErrorCount{}
	for _, code := range sortedCodes(c.errorCodes) {
		info := kwcode.Describe(code)
		out = append(out, ErrorCount{Code: code, Name: info.Name, Outcome: info.Outcome, Count: c.errorCodes[code]})
	}
	return out
}
