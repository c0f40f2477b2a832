package kwloadtest

import (
	"net/http"
	"sync"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwdemo"
	"knapweedproxy/io/kwfake"
)

// ledger counts promises that were checked and breached; it is safe for concurrent use.
type ledger struct {
	mu      sync.Mutex
	checks  map[string]Invariant
	codes   map[kwcode.Code]int
	written map[string]bool
	whole   int
	cut     int
}

// promiseOrder is the order of a report.
var promiseOrder = []string{
	promiseLayers, promiseWhole, promiseNotRun, promiseOnce, promiseKept, promiseLeaving, promiseGraceful,
}

func newLedger() *ledger {
	return &ledger{
		checks:  make(map[string]Invariant),
		codes:   make(map[kwcode.Code]int),
		written: make(map[string]bool),
	}
}

// check counts one check of a promise; the caller holds the lock.
func (l *ledger) check(name string, kept bool) {
	p := l.checks[name]
	p.Name = name
	p.Checked++
	if !kept {
		p.Violations++
	}
	l.checks[name] = p
}

// chat checks an answer against the reference. A stream that ends with an error event is not whole, but truthful.
func (l *ledger) chat(prompt string, maxTokens int, got kwdemo.Answer, err error) {
	want, _, _ := kwfake.ReferenceAnswer(loadLayers, kwdemo.RenderPrompt(prompt), maxTokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.check(promiseWhole, false)
		l.cut++
	case got.Error != nil:
		l.codes[got.Error.Code]++
		refused := got.Error.Outcome == kwcode.NotRun
		l.check(promiseWhole, refused)
		if !refused {
			l.cut++
		}
	default:
		l.whole++
		l.check(promiseWhole, got.Done)
		l.check(promiseLayers, got.Text == want)
	}
}

// write checks a write's answer against the service's own count.
func (l *ledger) write(f *kwdemo.Fleet, body string, got kwdemo.Answer, err error) {
	ran := f.WriteRuns("/alerts", body)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.check(promiseWhole, false)
	case got.Error != nil:
		l.codes[got.Error.Code]++
		if got.Error.Outcome == kwcode.NotRun {
			l.check(promiseNotRun, ran == 0)
		}
	case got.Status == http.StatusOK:
		l.written[body] = true
		l.check(promiseKept, ran >= 1)
	}
}

// finish checks at the end that nothing ran twice.
func (l *ledger) finish(f *kwdemo.Fleet) {
	counts := f.RecordStore.Counts()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range counts.Writes {
		l.check(promiseOnce, w.Count <= 1)
	}
}

func (l *ledger) leaving(arrived int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(promiseLeaving, arrived == 0)
}

// graceful counts each request of a run in which only planned stops happened.
func (l *ledger) graceful() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.whole {
		l.check(promiseGraceful, true)
	}
	for range l.cut {
		l.check(promiseGraceful, false)
	}
}

// merge adds another ledger's counts.
func (l *ledger) merge(o *ledger) {
	for name, p := range o.checks {
		sum := l.checks[name]
		sum.Name = name
		sum.Checked += p.Checked
		sum.Violations += p.Violations
		l.checks[name] = sum
	}
	for code, n := range o.codes {
		l.codes[code] += n
	}
}

func (l *ledger) promises() []Invariant {
	var out []Invariant
	for _, name := range promiseOrder {
		p := l.checks[name]
		p.Name = name
		out = append(out, p)
	}
	return out
}

func (l *ledger) refusals() []ErrorCount {
	out := []ErrorCount{}
	for _, code := range sortedCodes(l.codes) {
		info := kwcode.Describe(code)
		out = append(out, ErrorCount{Code: code, Name: info.Name, Outcome: info.Outcome, Count: l.codes[code]})
	}
	return out
}
