package kwsiteconfig

import (
	"strings"
	"time"

	"knapweedproxy/core/kwid"
)

// Format is the value of the format key of every fleet file.
const Format = "knapweedproxy-fleet-1"

// Duration is a time.Duration that settings files write with a unit, such as "250ms"; a number without a unit is
// rejected.
type Duration struct {
	Value time.Duration `cbor:"1,keyasint"`
}

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &durationError{text: string(text), cause: err}
	}
	d.Value = v
	return nil
}

// durationError is a failure to parse a duration. It keeps the text, by which the line is found in the file, since the
// TOML decoder reports no position for a value that is not a string.
type durationError struct {
	text  string
	cause error
}

// Error returns the cause's message.
func (e *durationError) Error() string { return e.cause.Error() }

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.Value.String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return d.Value
}

// RetryPolicy says whether a service call may be sent again after it may have run.
type RetryPolicy string

const (
	// Idempotent calls may be sent again after any failure.
	Idempotent RetryPolicy = "idempotent"
	// AtMostOnce calls go through the idempotency journal.
	AtMostOnce RetryPolicy = "at-most-once"
)

// Priority orders workspaces' requests at an engine.
type Priority string

const (
	// Interactive requests are served before batch requests.
	Interactive Priority = "interactive"
	// Batch requests are served after interactive requests.
	Batch Priority = "batch"
)

// Base is the content of the base file, which all sites share.
type Base struct {
	Format     string      `toml:"format"`
	Name       string      `toml:"name"`
	Models     []Model     `toml:"models"`
	Services   []Service   `toml:"services"`
	Workspaces []Workspace `toml:"workspaces"`
}

// Model is a language model whose layers are split over several servers.
type Model struct {
	Name           kwid.ModelName `toml:"name" cbor:"1,keyasint"`
	Layers         int            `toml:"layers" cbor:"2,keyasint"`
	MaxTokens      int            `toml:"max-tokens" cbor:"3,keyasint"`
	RequestTimeout Duration       `toml:"request-timeout" cbor:"4,keyasint"`
}

// Service is a service without model servers that calls are routed to.
type Service struct {
	Name    kwid.ServiceName `toml:"name" cbor:"1,keyasint"`
	Timeout Duration         `toml:"timeout" cbor:"2,keyasint"`
	Calls   []CallRule       `toml:"calls" cbor:"3,keyasint"`
}

// CallRule sets the retry policy for calls with a method and path; a path segment "*" matches any one segment. Within
// RepeatWindow, an equal call without an idempotency key counts as a repeat of the first.
type CallRule struct {
	Method       string      `toml:"method" cbor:"1,keyasint"`
	Path         string      `toml:"path" cbor:"2,keyasint"`
	Retry        RetryPolicy `toml:"retry" cbor:"3,keyasint"`
	RepeatWindow Duration    `toml:"repeat-window" cbor:"4,keyasint"`
}

// Matches reports whether the rule covers a method and a path.
func (c CallRule) Matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	want := strings.Split(strings.Trim(c.Path, "/"), "/")
	got := strings.Split(strings.Trim(path, "/"), "/")
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		if want[i] != "*" && want[i] != got[i] {
			return false
		}
	}
	return true
}

// FindRule returns the first rule that covers a method and a path, or false.
func (s Service) FindRule(method, path string) (CallRule, bool) {
	for _, rule := range s.Calls {
		if rule.Matches(method, path) {
			return rule, true
		}
	}
	return CallRule{}, false
}

// Workspace is a group of callers with shared limits; TokenSHA256 is the hex digest of its bearer token.
type Workspace struct {
	Name                kwid.WorkspaceName `toml:"name" cbor:"1,keyasint"`
	TokenSHA256         string             `toml:"token-sha256" cbor:"2,keyasint"`
	Weight              int                `toml:"weight" cbor:"3,keyasint"`
	MaxRequestsInFlight int                `toml:"requests-in-flight" cbor:"4,keyasint"`
	Priority            Priority           `toml:"priority" cbor:"5,keyasint"`
}

// Overlay is the content of the settings file of one site.
type Overlay struct {
	Format            string              `toml:"format"`
	Site              kwid.Site           `toml:"site"`
	AvailabilityZones []AvailabilityZone  `toml:"availability-zones"`
	Links             []Link              `toml:"links"`
	Pools             []Pool              `toml:"pools"`
	ServicePools      []ServicePool       `toml:"service-pools"`
	Workspaces        []WorkspaceOverride `toml:"workspaces"`
}

// AvailabilityZone is a failure domain inside a site.
type AvailabilityZone struct {
	Name kwid.AvailabilityZone `toml:"name" cbor:"1,keyasint"`
}

// Link is the network connection between two availability zones, in both directions.
type Link struct {
	From          kwid.AvailabilityZone `toml:"from" cbor:"1,keyasint"`
	To            kwid.AvailabilityZone `toml:"to" cbor:"2,keyasint"`
	Latency       Duration              `toml:"latency" cbor:"3,keyasint"`
	BandwidthMbps float64               `toml:"bandwidth-megabits-per-second" cbor:"4,keyasint"`
}

// Pool is a group of identical model servers that hold the same range of layers.
type Pool struct {
	Name             string                `toml:"name" cbor:"1,keyasint"`
	Model            kwid.ModelName        `toml:"model" cbor:"2,keyasint"`
	AvailabilityZone kwid.AvailabilityZone `toml:"availability-zone" cbor:"3,keyasint"`
	Accelerator      string                `toml:"accelerator" cbor:"4,keyasint"`
	FirstLayer       kwid.Layer            `toml:"first-layer" cbor:"5,keyasint"`
	LastLayer        kwid.Layer            `toml:"last-layer" cbor:"6,keyasint"`
	Servers          int                   `toml:"servers" cbor:"7,keyasint"`
	TokenRate        float64               `toml:"rate-tokens-per-second" cbor:"8,keyasint"`
}

// Layers returns the pool's layers as a half-open range; LastLayer is inclusive.
func (p Pool) Layers() kwid.LayerRange {
	return kwid.LayerRange{From: p.FirstLayer, To: p.LastLayer + 1}
}

// ServicePool is a group of identical servers of one service.
type ServicePool struct {
	Service          kwid.ServiceName      `toml:"service" cbor:"1,keyasint"`
	AvailabilityZone kwid.AvailabilityZone `toml:"availability-zone" cbor:"2,keyasint"`
	Servers          int                   `toml:"servers" cbor:"3,keyasint"`
}

// WorkspaceOverride overrides limits of a workspace at one site; a field of 0 keeps the base value.
type WorkspaceOverride struct {
	Name                kwid.WorkspaceName `toml:"name"`
	Weight              int                `toml:"weight"`
	MaxRequestsInFlight int                `toml:"requests-in-flight"`
}

// SiteFleet is one site's part of the fleet declaration, merged and checked.
type SiteFleet struct {
	Site              kwid.Site          `cbor:"1,keyasint"`
	AvailabilityZones []AvailabilityZone `cbor:"2,keyasint"`
	Links             []Link             `cbor:"3,keyasint"`
	Pools             []Pool             `cbor:"4,keyasint"`
	ServicePools      []ServicePool      `cbor:"5,keyasint"`
	Workspaces        []Workspace        `cbor:"6,keyasint"`
}

// Fleet is one complete revision of the fleet declaration.
type Fleet struct {
	Name     string      `cbor:"1,keyasint"`
	Models   []Model     `cbor:"2,keyasint"`
	Services []Service   `cbor:"3,keyasint"`
	Sites    []SiteFleet `cbor:"4,keyasint"`
}

// Model returns the named model, or false.
func (f *Fleet) Model(name kwid.ModelName) (Model, bool) {
	for _, m := range f.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the named service, or false.
func (f *Fleet) Service(name kwid.ServiceName) (Service, bool) {
	for _, s := range f.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Site returns a site's part of the declaration, or false.
func (f *Fleet) Site(name kwid.Site) (SiteFleet, bool) {
	for _, s := range f.Sites {
		if s.Site == name {
			return s, true
		}
	}
	return SiteFleet{}, false
}
