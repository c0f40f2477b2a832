package kwdemo

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/io/kwagent"
	"knapweedproxy/io/kwagententry"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwfake"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwwal"
)

const loopback = "127.0.0.1:0"

// Stage declares equal model servers of the fleet.
type Stage struct {
	Name      string
	Zone      kwid.AvailabilityZone
	Layers    kwid.LayerRange
	TokenRate float64
	Servers   int
}

// Config declares a fleet.
type Config struct {
	// Folder keeps the keys and the data folders.
	Folder  string
	Site    kwid.Site
	Model   kwid.ModelName
	Layers  int
	Stages  []Stage
	Records int
	// SecondSite, if named, gets as many records servers, with a ledger of their own, and an entry.
	SecondSite    kwid.Site
	SecondOverlay string
	Entries       int
	Controls      int
	Base          string
	Overlay       string
	Policy        kwmaxflow.Policy
	Seed          uint64
	Timing        kwcontrol.Timing
	// ViewLease is how long an entry serves without a confirmation.
	ViewLease             time.Duration
	AgentAnnounceInterval time.Duration
	EntryRenewInterval    time.Duration
	StepTimeout           time.Duration
	KVTokens              int
	PrefixTokens          int
	MaxBatch              int
	Log                   logr.Logger
	// Files gives the files of a control process; nil means its real folder.
	Files func(node kwid.NodeID) kwwal.Files
}

// Quick spans for a fleet on loopback.
const (
	quickAnnounce  = 200 * time.Millisecond
	quickRenew     = 200 * time.Millisecond
	quickStep      = 400 * time.Millisecond
	quickViewLease = 4 * time.Second
	quickLease     = 1200 * time.Millisecond
	quickGather    = 500 * time.Millisecond
	quickElection  = 400 * time.Millisecond
	quickHeartbeat = 80 * time.Millisecond
	quickPatience  = 10 * time.Second
	drainTimeout   = time.Minute
	tick           = 10 * time.Millisecond
	keyValidity    = 24 * time.Hour
)

// LoopbackTiming returns spans for a fleet on loopback.
func LoopbackTiming() kwcontrol.Timing {
	return kwcontrol.Timing{
		EndpointLease: quickLease,
		EntryLease:    quickViewLease + time.Second,
		Gather:        quickGather,
		Patience:      quickPatience,
		Tick:          tick,
	}
}

// Engine is one model server with the agent beside it.
type Engine struct {
	Endpoint kwid.EndpointID
	Zone     kwid.AvailabilityZone
	Fake     *kwfake.Engine
	Agent    *kwagent.Role
	Events   *kwevent.Emitter
}

// Server is one records server with the agent beside it.
type Server struct {
	Endpoint kwid.EndpointID
	Site     kwid.Site
	Fake     *kwfake.Records
	Agent    *kwagent.Role
	Events   *kwevent.Emitter
}

// Fleet is a running fleet.
type Fleet struct {
	cfg               Config
	keys              string
	control           []string
	peers             []kwcontrol.Peer
	admins            []string
	events            []*kwevent.Emitter
	clock             *kwhlc.Clock
	RecordStore       *kwfake.RecordStore
	SecondRecordStore *kwfake.RecordStore
	Engines           []*Engine
	Servers           []*Server
	Entries           []*kwagententry.Role
	Controls          []*kwcontrol.Role
}

// New starts every role of the fleet, applies the declaration and waits until every entry serves with it.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:               cfg,
		keys:              filepath.Join(cfg.Folder, "keys"),
		clock:             kwhlc.New(kwhlc.Config{}),
		RecordStore:       kwfake.NewRecordStore(),
		SecondRecordStore: kwfake.NewRecordStore(),
	}
	for _, step := range []func() error{f.startControls, f.startEngines, f.startServers, f.startEntries, f.apply, f.waitReady} {
		if err := step(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) emitter(node kwid.NodeID) *kwevent.Emitter {
	e := kwevent.New(kwevent.Config{Node: node, Clock: f.clock, Log: f.cfg.Log})
	f.events = append(f.events, e)
	return e
}

// store issues a key for a node and opens it.
func (f *Fleet) store(node kwid.NodeID, role kwkeys.Role) (*kwkeys.Store, error) {
	now := time.Now()
	if _, err := os.Stat(filepath.Join(f.keys, kwkeys.AuthorityKeyFile)); err != nil {
		if err := kwkeys.CreateAuthority(f.keys, now); err != nil {
			return nil, err
		}
	}
	req := kwkeys.IssueRequest{Folder: f.keys, Node: node, Role: role, Validity: keyValidity}
	if err := kwkeys.Issue(req, now); err != nil {
		return nil, err
	}
	return kwkeys.Open(kwkeys.FolderConfig(f.keys, node))
}

func (f *Fleet) apply() error {
	body := kwcontrol.ConfigBody{
		ChangeID: "first",
		Base:     kwcontrol.FileBody{Name: "base.toml", Text: f.cfg.Base},
		Overlays: []kwcontrol.FileBody{{Name: "site.toml", Text: f.cfg.Overlay}},
	}
	if f.cfg.SecondSite != "" {
		body.Overlays = append(body.Overlays, kwcontrol.FileBody{Name: "second.toml", Text: f.cfg.SecondOverlay})
	}
	return f.CallAdmin("/admin/config", body, &kwcontrol.ApplyReply{})
}

// waitReady waits until every entry serves and sees every endpoint as live.
func (f *Fleet) waitReady() error {
	return WaitFor("a ready fleet", func() bool {
		for _, e := range f.Entries {
			if !e.Serving() || !f.allSeen(e) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) allSeen(e *kwagententry.Role) bool {
	for _, engine := range f.Engines {
		if e.Sees(engine.Endpoint) != "live" {
			return false
		}
	}
	for _, s := range f.Servers {
		if e.Sees(s.Endpoint) != "live" {
			return false
		}
	}
	return true
}

// Timeline returns the events of all processes in order.
func (f *Fleet) Timeline() []kwevent.Record {
	var lists [][]kwevent.Record
	for _, e := range f.events {
		lists = append(lists, e.Records())
	}
	return kwevent.MergeRecords(lists...)
}

// Close stops every role gracefully, callers' side first.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Stop()
	}
	for _, e := range f.Engines {
		e.Agent.Kill()
		e.Fake.Close()
	}
	for _, s := range f.Servers {
		s.Agent.Kill()
		s.Fake.Close()
	}
	for _, c := range f.Controls {
		if c != nil {
			c.Stop()
		}
	}
}

// TokenDigest returns the form of a token that a fleet declaration holds.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// WriteRuns returns how often the records service ran a write.
func (f *Fleet) WriteRuns(path, body string) int {
	n := 0
	for _, w := range f.RecordStore.Counts().Writes {
		if w.Path == path && w.Body == body {
			n += w.Count
		}
	}
	return n
}

// AllEntriesSee tells whether every entry sees a records server in a state.
func (f *Fleet) AllEntriesSee(s *Server, state string) bool {
	for _, e := range f.Entries {
		if e.Sees(s.Endpoint) != state {
			return false
		}
	}
	return true
}

// replaceDisk starts a control process again on an empty data folder.
func (f *Fleet) replaceDisk(i int) error {
	if err := os.RemoveAll(f.DataFolder(i)); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return f.StartControl(i, false)
}
