package kwdirectentry

import (
	"context"
	"errors"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdrain"
	"knapweedproxy/io/kwtime"
)

// lateCheckInterval is the time between two checks whether the stop of an entry leaves a waiting request enough time.
const lateCheckInterval = 100 * time.Millisecond

// errTooLate is the cause with which the wait of a request ends when its answer may not end before the entry stops.
var errTooLate = errors.New("too late for an answer before the entry stops")

// endsLateError rejects a request whose answer would be cut off.
func endsLateError() *kwcode.Error {
	return stoppingError("the answer may not end before the entry stops")
}

// refuseLate returns the rejection of a call that may not be answered before this entry stops, nil if it may be sent. Another attempt
// does a call that has been sent before no harm.
func (g *Gateway) refuseLate(u *unaryState) *kwcode.Error {
	if !u.unsent() || g.mayEndBeforeExit(g.calls, u.q) {
		return nil
	}
	return endsLateError()
}

// mayEndBeforeExit reports whether a request may be sent for the first time: if this entry is stopping, its answer must end before.
func (g *Gateway) mayEndBeforeExit(calls *kwdrain.Calls, q *request) bool {
	exit := g.exitTime()
	return exit.IsZero() ||
		calls.MayPassOn(time.Now(), q.service, kwdrain.Limits{Deadline: q.deadline, DrainEnd: exit, Repeatable: q.route.Retryable()})
}

// whileInTime returns a context for the wait of a request that has not been sent yet: it ends with errTooLate once a stop leaves the request
// too little time. The caller calls leave after the wait.
func (g *Gateway) whileInTime(ctx context.Context, calls *kwdrain.Calls, q *request) (waiting context.Context, leave func()) {
	waiting, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.drainBegan, func() {
		for waiting.Err() == nil && g.mayEndBeforeExit(calls, q) {
			kwtime.Sleep(waiting, lateCheckInterval)
		}
		end(errTooLate)
	})
	return waiting, func() {
		stop()
		end(nil)
	}
}
