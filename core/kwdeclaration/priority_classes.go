package kwdeclaration

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"knapweedproxy/core/kwid"
)

// PriorityClasses are the priorities at which requests of one service come, the most urgent first; it is immutable.
type PriorityClasses struct {
	classes []priorityClass
}

type priorityClass struct {
	priority int
	// waitObjective is the longest objective among the streams of this priority and of the less urgent ones.
	waitObjective time.Duration
}

// WaitObjective returns the longest time-to-first-event objective among the streams of a priority and of the less urgent ones, or 0 if
// there are none.
func (p PriorityClasses) WaitObjective(priority int) time.Duration {
	if i := p.Position(priority); i < len(p.classes) {
		return p.classes[i].waitObjective
	}
	return 0
}

// Position returns how many more urgent priorities there are.
func (p PriorityClasses) Position(priority int) int {
	return sort.Search(len(p.classes), func(i int) bool { return p.classes[i].priority >= priority })
}

// Len returns how many priorities there are.
func (p PriorityClasses) Len() int { return len(p.classes) }

// priorityClasses returns the classes of each service. A workspace with a priority of its own has it on every route that needs a key. Such a
// route has no requests if no workspace has a key.
func priorityClasses(d *Declaration) map[kwid.ServiceName]PriorityClasses {
	longest := make(map[kwid.ServiceName]map[int]time.Duration)
	add := func(r *Route, priority int) {
		objective := time.Duration(0)
		if r.Kind == Streaming {
			objective = r.LatencyObjective
		}
		for _, t := range r.Targets {
			if longest[t.Service] == nil {
				longest[t.Service] = make(map[int]time.Duration)
			}
			longest[t.Service][priority] = max(longest[t.Service][priority], objective)
		}
	}
	hasCallers := slices.ContainsFunc(d.Workspaces, func(w Workspace) bool { return w.HasKey() })
	for i := range d.Routes {
		r := &d.Routes[i]
		if d.RequiresKey(r) && !hasCallers {
			continue
		}
		add(r, r.Priority)
		for _, w := range d.Workspaces {
			if w.Priority != nil && d.RequiresKey(r) && w.HasKey() {
				add(r, *w.Priority)
			}
		}
	}
	out := make(map[kwid.ServiceName]PriorityClasses, len(longest))
	for service, objectives := range longest {
		var classes []priorityClass
		for priority, objective := range objectives {
			classes = append(classes, priorityClass{priority, objective})
		}
		slices.SortFunc(classes, func(a, b priorityClass) int { return cmp.Compare(a.priority, b.priority) })
		for i := len(classes) - 2; i >= 0; i-- {
			classes[i].waitObjective = max(classes[i].waitObjective, classes[i+1].waitObjective)
		}
		out[service] = PriorityClasses{classes}
	}
	return out
}
