package kwdispatch

import (
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// Admission decides which requests are kept from capacity that more urgent ones at other entries need.
type Admission interface {
	// Admit decides how a request that arrives is treated.
	Admit(now time.Time, service kwid.ServiceName, priority int, broken bool) kwadmission.Verdict
	// Record counts what became of a request whose verdict was counted.
	Record(now time.Time, service kwid.ServiceName, priority int, outcome kwadmission.Outcome)
}

// behindPriority is added to the declared priority of a request that goes behind all others of its entry; declared priorities are at most a
// few digits.
const behindPriority = 1 << 16

// queuePriority returns the priority that orders the request in the queue.
func (r Request) queuePriority() int {
	if r.behind {
		return r.DeclaredPriority + behindPriority
	}
	return r.DeclaredPriority
}

// admissionClass is the class that a waiting request counts for.
type admissionClass struct {
	service  kwid.ServiceName
	priority int
}

// Dispatch decides on a request that arrives or that has failed at its endpoints. Under admission control, a request beyond the share of its
// class goes behind all others or is rejected at once.
func (d *Dispatcher) Dispatch(now time.Time, fleet Fleet, r Request) Decision {
	d.observeReturn(now, r)
	if d.cfg.Admission == nil || r.Admitted {
		return d.dispatch(now, fleet, r)
	}
	verdict := d.cfg.Admission.Admit(now, r.Service, r.DeclaredPriority, r.Broken)
	if !verdict.Counted {
		return d.dispatch(now, fleet, r)
	}
	class := admissionClass{r.Service, r.DeclaredPriority}
	if verdict.Action == kwadmission.Reject {
		d.record(now, class, kwadmission.Rejected)
		return Decision{RetryAfter: max(verdict.RetryAfter, d.Promise(now, r)), Admission: verdict}
	}
	r.behind = verdict.Action == kwadmission.Behind
	decision := d.dispatch(now, fleet, r)
	decision.Admission = verdict
	switch {
	case decision.EndsLate:
		// The entry stops, which tells nothing of the capacity.
	case decision.Granted:
		d.record(now, class, kwadmission.Granted)
	case decision.Waiter != nil:
		d.admitted[decision.Waiter] = class
		d.record(now, class, kwadmission.Queued)
	default:
		d.record(now, class, kwadmission.Rejected)
	}
	return decision
}

// Retry decides again on a request that waits, after it was woken or its wait has ended.
func (d *Dispatcher) Retry(now time.Time, fleet Fleet, r Request, waiter *kwqueue.Waiter) Decision {
	class, counted := d.admitted[waiter]
	if !counted {
		return d.retry(now, fleet, r, waiter)
	}
	delete(d.admitted, waiter)
	decision := d.retry(now, fleet, r, waiter)
	switch {
	case decision.Granted:
		d.record(now, class, kwadmission.GrantedAfterWait)
	case decision.Waiter != nil:
		d.admitted[waiter] = class
	default:
		d.record(now, class, kwadmission.RejectedAfterWait)
	}
	return decision
}

// abandonWait records that a request that was withdrawn no longer waits.
func (d *Dispatcher) abandonWait(waiter *kwqueue.Waiter) {
	if class, counted := d.admitted[waiter]; counted {
		delete(d.admitted, waiter)
		d.record(waiter.Deadline(), class, kwadmission.Abandoned)
	}
}

func (d *Dispatcher) record(now time.Time, class admissionClass, outcome kwadmission.Outcome) {
	d.cfg.Admission.Record(now, class.service, class.priority, outcome)
}
