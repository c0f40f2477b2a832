package kwsiteconfig

import (
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Limits on declared values.
const (
	maxLayers        = 4096
	maxTokensLimit   = 1 << 20
	minTimeout       = 10 * time.Millisecond
	maxTimeout       = time.Hour
	maxRepeatWindow  = 24 * time.Hour
	tokenDigestBytes = 32
)

func checkBase(file File, base *Base) error {
	if base.Format != Format {
		return settingsError(file, kwcode.SettingsBadValue, "format", "want %q, got %q", Format, base.Format)
	}
	if base.Name == "" {
		return settingsError(file, kwcode.SettingsMissing, "name", "the fleet needs a name")
	}
	if err := checkModels(file, base.Models); err != nil {
		return err
	}
	if err := checkServices(file, base.Services); err != nil {
		return err
	}
	return checkWorkspaces(file, base.Workspaces)
}

func checkModels(file File, models []Model) error {
	var names []kwid.ModelName
	for i, m := range models {
		keyPath := func(key string) string { return fmt.Sprintf("models[%d].%s", i, key) }
		if m.Name == "" {
			return settingsError(file, kwcode.SettingsMissing, keyPath("name"), "a model needs a name")
		}
		if slices.Contains(names, m.Name) {
			return settingsError(file, kwcode.SettingsDuplicate, keyPath("name"), "model %q is declared twice", m.Name)
		}
		names = append(names, m.Name)
		if m.Layers < 1 || m.Layers > maxLayers {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("layers"), "want 1 to %d layers, got %d", maxLayers, m.Layers)
		}
		if m.MaxTokens < 1 || m.MaxTokens > maxTokensLimit {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("max-tokens"), "want 1 to %d tokens, got %d", maxTokensLimit, m.MaxTokens)
		}
		if err := checkTimeout(file, keyPath("request-timeout"), m.RequestTimeout); err != nil {
			return err
		}
	}
	return nil
}

func checkTimeout(file File, key string, d Duration) error {
	if d.Std() < minTimeout || d.Std() > maxTimeout {
		return settingsError(file, kwcode.SettingsBadValue, key, "want %s to %s, got %s", minTimeout, maxTimeout, d.Std())
	}
	return nil
}

func checkServices(file File, services []Service) error {
	var names []kwid.ServiceName
	for i, s := range services {
		keyPath := func(key string) string { return fmt.Sprintf("services[%d].%s", i, key) }
		if s.Name == "" {
			return settingsError(file, kwcode.SettingsMissing, keyPath("name"), "a service needs a name")
		}
		if slices.Contains(names, s.Name) {
			return settingsError(file, kwcode.SettingsDuplicate, keyPath("name"), "service %q is declared twice", s.Name)
		}
		names = append(names, s.Name)
		if err := checkTimeout(file, keyPath("timeout"), s.Timeout); err != nil {
			return err
		}
		if err := checkCalls(file, keyPath("calls"), s); err != nil {
			return err
		}
	}
	return nil
}

func checkCalls(file File, key string, s Service) error {
	if len(s.Calls) == 0 {
		return settingsError(file, kwcode.SettingsMissing, key, "service %q declares no calls", s.Name)
	}
	for _, c := range s.Calls {
		if c.Method == "" || len(c.Path) < 2 || c.Path[0] != '/' {
			return settingsError(file, kwcode.SettingsBadValue, key, "service %q: a call needs a method and a path that starts with \"/\"", s.Name)
		}
		if c.Retry != Idempotent && c.Retry != AtMostOnce {
			return settingsError(file, kwcode.SettingsBadValue, key, "%s %s: want retry %q or %q, got %q", c.Method, c.Path, Idempotent, AtMostOnce, c.Retry)
		}
		if c.RepeatWindow.Std() < 0 || c.RepeatWindow.Std() > maxRepeatWindow {
			return settingsError(file, kwcode.SettingsBadValue, key, "%s %s: want a repeat-window up to %s", c.Method, c.Path, maxRepeatWindow)
		}
	}
	return nil
}

func checkWorkspaces(file File, workspaces []Workspace) error {
	var names []kwid.WorkspaceName
	var digests []string
	for i, w := range workspaces {
		keyPath := func(key string) string { return fmt.Sprintf("workspaces[%d].%s", i, key) }
		if w.Name == "" {
			return settingsError(file, kwcode.SettingsMissing, keyPath("name"), "a workspace needs a name")
		}
		if slices.Contains(names, w.Name) {
			return settingsError(file, kwcode.SettingsDuplicate, keyPath("name"), "workspace %q is declared twice", w.Name)
		}
		names = append(names, w.Name)
		raw, err := hex.DecodeString(w.TokenSHA256)
		if err != nil || len(raw) != tokenDigestBytes {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("token-sha256"), "want %d bytes in hex", tokenDigestBytes)
		}
		if slices.Contains(digests, w.TokenSHA256) {
			return settingsError(file, kwcode.SettingsDuplicate, keyPath("token-sha256"), "two workspaces share a token")
		}
		digests = append(digests, w.TokenSHA256)
		if w.Weight < 1 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("weight"), "want 1 or more, got %d", w.Weight)
		}
		if w.MaxRequestsInFlight < 1 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("requests-in-flight"), "want 1 or more, got %d", w.MaxRequestsInFlight)
		}
		if w.Priority != Interactive && w.Priority != Batch {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("priority"), "want %q or %q, got %q", Interactive, Batch, w.Priority)
		}
	}
	return nil
}

func checkOverlay(file File, base *Base, o *Overlay) error {
	if o.Format != Format {
		return settingsError(file, kwcode.SettingsBadValue, "format", "want %q, got %q", Format, o.Format)
	}
	if o.Site == "" {
		return settingsError(file, kwcode.SettingsMissing, "site", "an overlay needs a site")
	}
	if len(o.AvailabilityZones) == 0 {
		return settingsError(file, kwcode.SettingsMissing, "availability-zones", "an overlay needs at least one availability zone")
	}
	if err := checkLinks(file, o); err != nil {
		return err
	}
	if err := checkServicePools(file, base, o); err != nil {
		return err
	}
	if err := checkOverrides(file, base, o); err != nil {
		return err
	}
	return checkPools(file, base, o)
}

func (o *Overlay) hasZone(name kwid.AvailabilityZone) bool {
	return slices.Contains(o.AvailabilityZones, AvailabilityZone{Name: name})
}

func checkLinks(file File, o *Overlay) error {
	for i, l := range o.Links {
		keyPath := func(key string) string { return fmt.Sprintf("links[%d].%s", i, key) }
		if !o.hasZone(l.From) {
			return settingsError(file, kwcode.SettingsReference, keyPath("from"), "unknown availability zone %q", l.From)
		}
		if !o.hasZone(l.To) {
			return settingsError(file, kwcode.SettingsReference, keyPath("to"), "unknown availability zone %q", l.To)
		}
		if l.Latency.Std() < 0 || l.Latency.Std() > time.Minute {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("latency"), "want up to 1m, got %s", l.Latency.Std())
		}
		if l.BandwidthMbps <= 0 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("bandwidth-megabits-per-second"), "want more than 0, got %g", l.BandwidthMbps)
		}
	}
	return nil
}

func checkServicePools(file File, base *Base, o *Overlay) error {
	for i, p := range o.ServicePools {
		keyPath := func(key string) string { return fmt.Sprintf("service-pools[%d].%s", i, key) }
		known := slices.ContainsFunc(base.Services, func(s Service) bool { return s.Name == p.Service })
		if !known {
			return settingsError(file, kwcode.SettingsReference, keyPath("service"), "unknown service %q", p.Service)
		}
		if !o.hasZone(p.AvailabilityZone) {
			return settingsError(file, kwcode.SettingsReference, keyPath("availability-zone"), "unknown availability zone %q", p.AvailabilityZone)
		}
		if p.Servers < 1 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("servers"), "want 1 or more, got %d", p.Servers)
		}
	}
	return nil
}

func checkOverrides(file File, base *Base, o *Overlay) error {
	for i, override := range o.Workspaces {
		keyPath := func(key string) string { return fmt.Sprintf("workspaces[%d].%s", i, key) }
		known := slices.ContainsFunc(base.Workspaces, func(w Workspace) bool { return w.Name == override.Name })
		if !known {
			return settingsError(file, kwcode.SettingsReference, keyPath("name"), "unknown workspace %q", override.Name)
		}
		if override.Weight < 0 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("weight"), "want 1 or more, got %d", override.Weight)
		}
		if override.MaxRequestsInFlight < 0 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("requests-in-flight"), "want 1 or more, got %d", override.MaxRequestsInFlight)
		}
	}
	return nil
}

func checkPools(file File, base *Base, o *Overlay) error {
	for i, p := range o.Pools {
		keyPath := func(key string) string { return fmt.Sprintf("pools[%d].%s", i, key) }
		model := slices.IndexFunc(base.Models, func(m Model) bool { return m.Name == p.Model })
		if model < 0 {
			return settingsError(file, kwcode.SettingsReference, keyPath("model"), "unknown model %q", p.Model)
		}
		if !o.hasZone(p.AvailabilityZone) {
			return settingsError(file, kwcode.SettingsReference, keyPath("availability-zone"), "unknown availability zone %q", p.AvailabilityZone)
		}
		if p.Servers < 1 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("servers"), "want 1 or more, got %d", p.Servers)
		}
		if p.TokenRate <= 0 {
			return settingsError(file, kwcode.SettingsBadValue, keyPath("rate-tokens-per-second"), "want more than 0, got %g", p.TokenRate)
		}
		layers := base.Models[model].Layers
		if p.FirstLayer < 0 || p.LastLayer < p.FirstLayer || int(p.LastLayer) >= layers {
			return settingsError(file, kwcode.SettingsLayers, keyPath("last-layer"), "want layers within 0 to %d, got %d to %d", layers-1, p.FirstLayer, p.LastLayer)
		}
	}
	return checkLayerCoverage(file, base, o)
}

// checkLayerCoverage checks that every pool is part of a chain of pools that covers each layer of its model exactly
// once.
func checkLayerCoverage(file File, base *Base, o *Overlay) error {
	for _, m := range base.Models {
		var ranges []kwid.LayerRange
		for _, p := range o.Pools {
			if p.Model == m.Name {
				ranges = append(ranges, p.Layers())
			}
		}
		if len(ranges) == 0 {
			continue
		}
		forward := reachable(ranges, 0, func(r kwid.LayerRange) (kwid.Layer, kwid.Layer) { return r.From, r.To })
		backward := reachable(ranges, kwid.Layer(m.Layers), func(r kwid.LayerRange) (kwid.Layer, kwid.Layer) { return r.To, r.From })
		for i, p := range o.Pools {
			if p.Model != m.Name {
				continue
			}
			if !forward[p.FirstLayer] || !backward[p.LastLayer+1] {
				key := fmt.Sprintf("pools[%d].first-layer", i)
				return settingsError(file, kwcode.SettingsLayers, key, "pool %q: layers %d to %d overlap other pools or leave a gap in model %q", p.Name, p.FirstLayer, p.LastLayer, m.Name)
			}
		}
	}
	return nil
}

// reachable returns the layer boundaries that can be reached from start by joining ranges end to end. ends returns the
// ends of a range in the direction of the search.
func reachable(ranges []kwid.LayerRange, start kwid.Layer, ends func(kwid.LayerRange) (kwid.Layer, kwid.Layer)) map[kwid.Layer]bool {
	seen := map[kwid.Layer]bool{start: true}
	for range ranges {
		for _, r := range ranges {
			from, to := ends(r)
			if seen[from] {
				seen[to] = true
			}
		}
	}
	return seen
}
