package kwdirectentry

import (
	"fmt"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
)

// setAdmissionServices puts the services of a view under admission control that have more than one class; the caller holds the lock.
func (s *scheduler) setAdmissionServices(v *view) {
	if v.index == s.admissionIndex {
		return
	}
	s.admissionIndex = v.index
	s.admission.SetServices(classesOf(v))
}

// classesOf returns the priorities of the streams of each service with model servers whose streams have different priorities.
func classesOf(v *view) map[kwid.ServiceName][]int {
	if v.index == nil {
		return nil
	}
	classes := make(map[kwid.ServiceName][]int)
	decl := v.index.Declaration
	for i := range decl.Routes {
		r := &decl.Routes[i]
		if r.Kind != kwdeclaration.Streaming {
			continue
		}
		priorities := prioritiesOf(v.index, r)
		for _, t := range r.Targets {
			if v.modelEngine(t.Service) != nil {
				classes[t.Service] = append(classes[t.Service], priorities...)
			}
		}
	}
	for service, priorities := range classes {
		slices.Sort(priorities)
		classes[service] = slices.Compact(priorities)
		if len(classes[service]) < 2 {
			delete(classes, service)
		}
	}
	return classes
}

// prioritiesOf returns the priorities that requests of a route may have: its own, or that of a workspace with one. Workspaces without a key
// have no requests.
func prioritiesOf(index *kwdeclaration.Index, r *kwdeclaration.Route) []int {
	if !index.RequiresKey(r) {
		return []int{r.Priority}
	}
	var out []int
	for i := range index.Declaration.Workspaces {
		w := &index.Declaration.Workspaces[i]
		priority := r.Priority
		if w.Priority != nil {
			priority = *w.Priority
		}
		if !slices.Contains(out, priority) && w.HasKey() {
			out = append(out, priority)
		}
	}
	return out
}

// admissionRows returns the counts that the leader is to know.
func (s *scheduler) admissionRows(now time.Time) []kwadmission.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Rows(now)
}

// applyAdmission takes over the shares that the leader has answered with.
func (s *scheduler) applyAdmission(now time.Time, shares []kwadmission.ServiceShares) {
	if len(shares) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Apply(now, shares)
}

// withheldError rejects a request beyond the share of its class.
func withheldError(q *request, decision kwdispatch.Decision) error {
	err := kwcode.New(kwcode.EntryOverloaded, "more urgent requests of service %q are short of capacity; %.2f of those of priority %d are admitted",
		q.service, float64(decision.Admission.Share), q.basePriority())
	return err.After(decision.RetryAfter)
}

// admissionFields returns what admission control decided on a request by, if it holds back a part of the request's class.
func admissionFields(q *request) []kwevent.Field {
	v := q.admission
	if !v.Counted || v.Share == 1 && v.Action == kwadmission.Pass {
		return nil
	}
	return []kwevent.Field{
		kwevent.F("admission", v.Action.String()), kwevent.F("priority", q.basePriority()), kwevent.F("share", fmt.Sprintf("%.2f", float64(v.Share))),
		kwevent.F("share-version", v.Version), kwevent.F("share-age-ms", v.Age.Milliseconds()), kwevent.F("share-local", v.Local),
	}
}

// countAdmission counts a request under admission control by class and workspace, by whether it waited and was rejected.
func (g *Gateway) countAdmission(q *request, waited time.Duration, err error) {
	if !q.admission.Counted || q.broken {
		return
	}
	count := func(what string) {
		name := fmt.Sprintf("admission.%s.priority-%d.%s", what, q.basePriority(), q.service)
		metrics.GetOrRegisterCounter(name, g.deps.Metrics).Inc(1)
		if q.workspace != nil {
			metrics.GetOrRegisterCounter(name+"."+string(q.workspace.Name), g.deps.Metrics).Inc(1)
		}
	}
	if waited > 0 {
		count("waited")
	}
	if err == nil {
		count("admitted")
	} else if kwcode.FromError(err) != nil {
		count("rejected")
	}
}
