package kwdirectentry

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
)

const (
	// loanTimeout bounds the question for a loan: a caller's stream stands still meanwhile.
	loanTimeout = 150 * time.Millisecond
	// loanPause is how long no loan is asked for after one was refused, so that a lasting failure does not load control.
	loanPause = 200 * time.Millisecond
)

// loans remembers which services were refused a loan a moment ago.
type loans struct {
	mu      sync.Mutex
	refused map[kwid.ServiceName]time.Time
}

func (l *loans) worthAsking(service kwid.ServiceName, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.refused[service]) >= loanPause
}

func (l *loans) noteRefusal(service kwid.ServiceName, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused == nil {
		l.refused = make(map[kwid.ServiceName]time.Time)
	}
	l.refused[service] = now
}

// mayRepeat takes the credit of one more send: of this entry's own part of the retry budget, or else of what control lends.
func (g *Gateway) mayRepeat(ctx context.Context, q *request) bool {
	if g.budgets.ForService(q.service).TrySpend(time.Now()) {
		return true
	}
	err := g.borrow(ctx, q.service)
	if err != nil {
		g.deps.Events.Emit(kwevent.RetryDenied, q.call.ID, kwevent.F("service", q.service), kwevent.F("sends", q.sends), kwevent.F("error", err.Error()))
	}
	return err == nil
}

func (g *Gateway) borrow(ctx context.Context, service kwid.ServiceName) error {
	if !g.loans.worthAsking(service, time.Now()) {
		return kwcode.New(kwcode.RetryBudgetSpent, "a loan was refused less than %v ago", loanPause)
	}
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	err := g.leader.Call(ctx, kwdirectproto.KindRetryLoan, kwdirectproto.RetryLoan{Entry: g.cfg.Node, Service: service}, nil, 0)
	if err != nil {
		g.loans.noteRefusal(service, time.Now())
	}
	return err
}
