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
	// loanTimeout bounds the request for a retry loan, since the caller's stream pauses meanwhile.
	loanTimeout = 150 * time.Millisecond
	// loanCooldown is how long after a refused loan no other is requested for the service, so that a lasting failure
	// does not load the control processes.
	loanCooldown = 200 * time.Millisecond
)

// loanRefusals records when each service was last refused a retry loan.
type loanRefusals struct {
	mu   sync.Mutex
	last map[kwid.ServiceName]time.Time
}

func (l *loanRefusals) mayAsk(service kwid.ServiceName, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.last[service]) >= loanCooldown
}

func (l *loanRefusals) record(service kwid.ServiceName, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = make(map[kwid.ServiceName]time.Time)
	}
	l.last[service] = now
}

// spendRetryBudget spends one retry from this entry's share of the retry budget, or else borrows one from the leader;
// it returns false if neither has any left.
func (g *Gateway) spendRetryBudget(ctx context.Context, q *request) bool {
	if g.retryBudgets.ForService(q.service).TrySpend(time.Now()) {
		return true
	}
	err := g.borrowRetry(ctx, q.service)
	if err != nil {
		g.deps.Events.Emit(kwevent.RetryDenied, q.meta.ID, kwevent.F("service", q.service), kwevent.F("sends", q.sends), kwevent.F("error", err.Error()))
	}
	return err == nil
}

func (g *Gateway) borrowRetry(ctx context.Context, service kwid.ServiceName) error {
	if !g.loanRefusals.mayAsk(service, time.Now()) {
		return kwcode.New(kwcode.RetryBudgetSpent, "a retry loan was refused less than %v ago", loanCooldown)
	}
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	err := g.leader.Call(ctx, kwdirectproto.KindRetryLoan, kwdirectproto.RetryLoan{Entry: g.cfg.Node, Service: service}, nil, 0)
	if err != nil {
		g.loanRefusals.record(service, time.Now())
	}
	return err
}
