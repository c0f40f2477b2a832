package kwdeclaration

import (
	"strings"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Check returns a coded error for the first invalid part of the declaration, or nil.
func (d *Declaration) Check() error {
	if d.Number == 0 {
		return kwcode.New(kwcode.SettingsMissing, "the declaration has no number")
	}
	services, err := d.checkServices()
	if err != nil {
		return err
	}
	if err := d.checkRoutes(services); err != nil {
		return err
	}
	if share := d.Limits.HedgeShare; share != nil && !ValidHedgeShare(*share) {
		return kwcode.New(kwcode.SettingsBadValue, "limits: a share of %v of the requests hedged is not between 0 and 1", *share)
	}
	return d.checkWorkspaces()
}

const (
	// MaxLayers bounds the layers of a model. A plan keeps tables of them, and models have hundreds at most.
	MaxLayers = 4096
	// MaxAttempts bounds the attempts of a route, which each request keeps room for.
	MaxAttempts = 1000
)

func (d *Declaration) checkServices() (map[kwid.ServiceName]bool, error) {
	seen := make(map[kwid.ServiceName]bool, len(d.Services))
	for i := range d.Services {
		s := &d.Services[i]
		if s.Name == "" {
			return nil, kwcode.New(kwcode.SettingsMissing, "service %d has no name", i)
		}
		if seen[s.Name] {
			return nil, kwcode.New(kwcode.SettingsDuplicate, "service %q is declared twice", s.Name)
		}
		seen[s.Name] = true
		if e := s.Engine; e != nil && (e.Layers < 0 || e.Layers > MaxLayers) {
			return nil, kwcode.New(kwcode.SettingsLayers, "service %q has %d layers, want 0 to %d", s.Name, e.Layers, MaxLayers)
		}
	}
	return seen, nil
}

// ValidHedgeShare reports whether a share of the requests can be the limit on hedged requests.
func ValidHedgeShare(share float64) bool { return share >= 0 && share <= 1 }

// routeKey identifies a route: no two routes may have the same host and prefix.
type routeKey struct{ host, prefix string }

func (d *Declaration) checkRoutes(services map[kwid.ServiceName]bool) error {
	names := make(map[routeKey]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := routeKey{host: r.Host, prefix: r.Prefix}
		if other, exists := names[key]; exists {
			return kwcode.New(kwcode.SettingsDuplicate, "routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		names[key] = r.Name
	}
	return nil
}

func (r *Route) check(services map[kwid.ServiceName]bool) error {
	switch {
	case r.Host == "":
		return kwcode.New(kwcode.SettingsMissing, "route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return kwcode.New(kwcode.SettingsBadValue, "route %q: prefix %q must start and end with a slash", r.Name, r.Prefix)
	case r.Kind != Idempotent && r.Kind != AtMostOnce && r.Kind != Streaming:
		return kwcode.New(kwcode.SettingsBadValue, "route %q has an unknown call kind", r.Name)
	case r.MaxAttempts > MaxAttempts:
		return kwcode.New(kwcode.SettingsBadValue, "route %q has %d attempts, want at most %d", r.Name, r.MaxAttempts, MaxAttempts)
	case r.Timeout <= 0:
		return kwcode.New(kwcode.SettingsBadValue, "route %q: the timeout must be greater than 0", r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return kwcode.New(kwcode.SettingsReference, "route %q refers to service %q, which is not declared", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return kwcode.New(kwcode.SettingsBadValue, "route %q: weight %d is negative", r.Name, t.Weight)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return kwcode.New(kwcode.SettingsBadValue, "route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (d *Declaration) checkWorkspaces() error {
	if d.KeyCheck == KeyIgnored && len(d.Workspaces) > 0 {
		return kwcode.New(kwcode.SettingsBadValue, "%d workspaces are declared, whose keys are ignored", len(d.Workspaces))
	}
	owners := make(map[string]kwid.WorkspaceName)
	for _, w := range d.Workspaces {
		if w.Name == "" {
			return kwcode.New(kwcode.SettingsMissing, "a workspace has no name")
		}
		for _, key := range w.Keys {
			owner, exists := owners[key]
			if exists && owner != w.Name {
				return kwcode.New(kwcode.SettingsDuplicate, "workspaces %q and %q share a key", owner, w.Name)
			}
			owners[key] = w.Name
		}
	}
	return nil
}
