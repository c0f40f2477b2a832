package kwdeclaration

import (
	"cmp"
	"slices"
	"strings"

	"knapweedproxy/core/kwid"
)

// Index looks up the routes, services and workspaces of a declaration; it is immutable.
type Index struct {
	Declaration *Declaration
	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]*Route
	// workspaces holds the workspace of each key; an empty key admits nobody.
	workspaces map[string]*Workspace
	services   map[kwid.ServiceName]*Service
	classes    map[kwid.ServiceName]PriorityClasses
	// byService holds the index of each service's requests.
	byService map[kwid.ServiceName]*Index
}

// NewIndex returns the index of a checked declaration, which must not change afterwards.
func NewIndex(d *Declaration) *Index {
	x := &Index{
		Declaration: d,
		routes:      make(map[string][]*Route),
		workspaces:  make(map[string]*Workspace),
		services:    make(map[kwid.ServiceName]*Service),
		classes:     priorityClasses(d),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.routes[r.Host] = append(x.routes[r.Host], r)
	}
	for _, routes := range x.routes {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			// A request without a key must not pass for one with an empty key.
			if key != "" {
				x.workspaces[key] = &d.Workspaces[i]
			}
		}
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	x.byService = make(map[kwid.ServiceName]*Index, len(d.Services))
	for _, s := range d.Services {
		x.byService[s.Name] = x.only(s.Name)
	}
	return x
}

// ForService returns what requests of a service need once they have been routed: the service, its priority classes and the limits. A request
// may outlive its declaration by far, which is large, and keeps only this of it.
func (x *Index) ForService(name kwid.ServiceName) *Index {
	if only, ok := x.byService[name]; ok {
		return only
	}
	return x.only(name)
}

func (x *Index) only(name kwid.ServiceName) *Index {
	out := &Index{
		Declaration: &Declaration{Number: x.Declaration.Number, KeyCheck: x.Declaration.KeyCheck, Limits: x.Declaration.Limits},
		services:    make(map[kwid.ServiceName]*Service),
		classes:     map[kwid.ServiceName]PriorityClasses{name: x.classes[name]},
	}
	if s := x.services[name]; s != nil {
		service := *s
		out.Declaration.Services = []Service{service}
		out.services[name] = &service
	}
	return out
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Admit decides by its key whether a request to a route may run, for callers that go on sending after their keys were taken away. The
// workspace of the key is nil where none is required.
func (x *Index) Admit(r *Route, key string) (w *Workspace, ok bool) {
	if !x.RequiresKey(r) {
		return nil, true
	}
	w = x.workspaces[key]
	return w, w != nil
}

// Service returns a declared service, or nil.
func (x *Index) Service(name kwid.ServiceName) *Service {
	return x.services[name]
}

// PriorityClasses returns the priorities at which requests of a service come.
func (x *Index) PriorityClasses(name kwid.ServiceName) PriorityClasses {
	return x.classes[name]
}

// KeyCheck returns the name of the declaration's check of keys, "none" if the index is nil.
func (x *Index) KeyCheck() string {
	if x == nil {
		return "none"
	}
	return x.Declaration.KeyCheck.String()
}

// RequiresKey reports whether the route's requests need a key.
func (x *Index) RequiresKey(r *Route) bool { return x.Declaration.RequiresKey(r) }

// PickService picks a target service by weight. draw is uniform in [0, 1) and the same for all attempts of a request.
func (r *Route) PickService(draw float64) kwid.ServiceName {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	rest := draw * float64(sum)
	for _, t := range r.Targets {
		rest -= float64(t.Weight)
		if rest < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
