package kwdeclaration

import (
	"cmp"
	"slices"
	"strings"

	"knapweedproxy/core/kwid"
)

// Index answers the questions that a request asks of a declaration; it is immutable.
type Index struct {
	Declaration *Declaration
	hosts       map[string][]*Route
	keys        map[string]*Workspace
	services    map[kwid.ServiceName]*Service
}

// NewIndex returns the index of a checked declaration, which must not change afterwards.
func NewIndex(d *Declaration) *Index {
	x := &Index{
		Declaration: d,
		hosts:       make(map[string][]*Route),
		keys:        make(map[string]*Workspace),
		services:    make(map[kwid.ServiceName]*Service),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			x.keys[key] = &d.Workspaces[i]
		}
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	return x
}

// Route returns the route of a host with the longest prefix that begins the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that holds a key, or nil.
func (x *Index) WorkspaceByKey(key string) *Workspace {
	return x.keys[key]
}

// Service returns a declared service, or nil.
func (x *Index) Service(name kwid.ServiceName) *Service {
	return x.services[name]
}

// RequiresKey tells whether requests need a key: some workspace is declared and the route is not public.
func (x *Index) RequiresKey(r *Route) bool {
	return len(x.Declaration.Workspaces) > 0 && !r.Public
}

// PickService returns the service for a request; draw is uniform in [0, 1) and fixed for a request.
func (r *Route) PickService(draw float64) kwid.ServiceName {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := draw * float64(sum)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
