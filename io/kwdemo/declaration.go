package kwdemo

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwid"
)

// Names of the demonstration fleet.
const (
	ModelName      kwid.ModelName   = "drafting"
	ServiceName    kwid.ServiceName = "records"
	SiteName       kwid.Site        = "demo"
	zoneEast                        = "east"
	zoneWest                        = "west"
	modelLayers                     = 12
	stageTokenRate                  = 4000
)

// Workspace is a workspace of the demonstration fleet with its bearer token.
type Workspace struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

// Workspaces returns the workspaces of the demonstration fleet.
func Workspaces() []Workspace {
	return []Workspace{
		{Name: "road-crews", Token: "demo-token-road-crews"},
		{Name: "toy-library", Token: "demo-token-toy-library"},
	}
}

// BaseTOML returns the base declaration of a fleet with one model and one records service.
func BaseTOML(layers, inFlight int) string {
	var out strings.Builder
	fmt.Fprintf(&out, `format = "knapweedproxy-fleet-1"
name = "demo"

[[models]]
name = %q
layers = %d
max-tokens = 1024
request-timeout = "60s"

[[services]]
name = %q
timeout = "5s"
calls = [
  { method = "GET", path = "/runs/*", retry = "idempotent" },
  { method = "GET", path = "/alerts", retry = "idempotent" },
  { method = "POST", path = "/alerts", retry = "at-most-once" },
  { method = "POST", path = "/holds", retry = "at-most-once", repeat-window = "30s" },
]
`, ModelName, layers, ServiceName)
	for _, w := range Workspaces() {
		fmt.Fprintf(&out, `
[[workspaces]]
name = %q
token-sha256 = %q
weight = 1
requests-in-flight = %d
priority = "interactive"
`, w.Name, TokenDigest(w.Token), inFlight)
	}
	return out.String()
}

// OverlayTOML returns the overlay of a site with the given stages and number of records servers.
func OverlayTOML(site kwid.Site, stages []Stage, records int) string {
	var out strings.Builder
	fmt.Fprintf(&out, "format = \"knapweedproxy-fleet-1\"\nsite = %q\n", site)
	for _, zone := range []string{zoneEast, zoneWest} {
		fmt.Fprintf(&out, "\n[[availability-zones]]\nname = %q\n", zone)
	}
	fmt.Fprintf(&out, "\n[[links]]\nfrom = %q\nto = %q\nlatency = \"1ms\"\nbandwidth-megabits-per-second = 10000\n", zoneEast, zoneWest)
	for _, s := range stages {
		fmt.Fprintf(&out, "\n[[pools]]\nname = %q\nmodel = %q\navailability-zone = %q\naccelerator = \"stand-in\"\n", s.Name, ModelName, s.Zone)
		fmt.Fprintf(&out, "first-layer = %d\nlast-layer = %d\nservers = %d\nrate-tokens-per-second = %g\n", s.Layers.From, s.Layers.To-1, s.Servers, s.TokenRate)
	}
	if records > 0 {
		fmt.Fprintf(&out, "\n[[service-pools]]\nservice = %q\navailability-zone = %q\nservers = %d\n", ServiceName, zoneEast, records)
	}
	return out.String()
}

// DefaultStages splits the model into three unequal ranges of layers, each with one server in either availability zone.
func DefaultStages() []Stage {
	var out []Stage
	for _, zone := range []kwid.AvailabilityZone{zoneEast, zoneWest} {
		for _, layers := range []kwid.LayerRange{{From: 0, To: 5}, {From: 5, To: 9}, {From: 9, To: modelLayers}} {
			out = append(out, Stage{
				Name:      fmt.Sprintf("%s-layers-%d", zone, layers.From),
				Zone:      zone,
				Layers:    layers,
				TokenRate: stageTokenRate,
				Servers:   1,
			})
		}
	}
	return out
}

const (
	demoRequestsInFlight = 256
	demoSeed             = 1
	demoPrefixTokens     = 1 << 14
)

// DefaultConfig returns the demonstration fleet: one control process, two entries, six stages and two records servers.
func DefaultConfig(folder string, log logr.Logger) Config {
	stages := DefaultStages()
	const records = 2
	return Config{
		Folder:                folder,
		Site:                  SiteName,
		Model:                 ModelName,
		Layers:                modelLayers,
		Stages:                stages,
		RecordsServers:        records,
		Entries:               2,
		Controls:              1,
		Base:                  BaseTOML(modelLayers, demoRequestsInFlight),
		Overlay:               OverlayTOML(SiteName, stages, records),
		Seed:                  demoSeed,
		Timing:                LoopbackTiming(),
		ViewLease:             viewLease,
		AgentAnnounceInterval: announceInterval,
		StepTimeout:           stepTimeout,
		PrefixTokens:          demoPrefixTokens,
		Log:                   log,
	}
}

// DrainGrace is how long after the start of a drain an endpoint may still receive new work.
const DrainGrace = 3 * time.Second
