package kwdemo

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
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

// loopback is a listen address with a port that the system chooses.
const loopback = "127.0.0.1:0"

// Stage declares a pool of identical model servers that hold one range of layers.
type Stage struct {
	Name   string
	Zone   kwid.AvailabilityZone
	Layers kwid.LayerRange
	// TokenRate is the throughput of one server, in tokens per second.
	TokenRate float64
	Servers   int
}

// Config configures a fleet. ViewLease, AgentAnnounceInterval, EntryRenewInterval, StepTimeout, KVTokens, MaxBatch and
// Policy have defaults, which zero values select.
type Config struct {
	// Folder holds the key folder and the data folders of the control processes.
	Folder string
	Site   kwid.Site
	Model  kwid.ModelName
	// Layers is the number of layers of the model.
	Layers int
	Stages []Stage
	// RecordsServers is the number of records servers at each site.
	RecordsServers int
	// SecondSite, if not empty, gets its own records servers, with a separate RecordStore, and one entry.
	SecondSite    kwid.Site
	SecondOverlay string
	// Entries is the number of entries at the first site; Controls is the number of control processes.
	Entries  int
	Controls int
	// Base and Overlay are the fleet declaration, in TOML.
	Base    string
	Overlay string
	Policy  kwmaxflow.Policy
	Seed    uint64
	Timing  kwcontrol.Timing
	// ViewLease is how long an entry serves without a renewal of its view by the control role.
	ViewLease             time.Duration
	AgentAnnounceInterval time.Duration
	ViewRenewInterval     time.Duration
	StepTimeout           time.Duration
	KVTokens              int
	PrefixTokens          int
	MaxBatch              int
	Log                   logr.Logger
	// Files returns the file system of a control process; nil means the real one.
	Files func(node kwid.NodeID) kwwal.FileSystem
}

// Durations for a fleet on loopback, shorter than those of a deployed fleet.
const (
	announceInterval   = 200 * time.Millisecond
	viewRenewInterval  = 200 * time.Millisecond
	stepTimeout        = 400 * time.Millisecond
	viewLease          = 4 * time.Second
	endpointLease      = 1200 * time.Millisecond
	gatherPeriod       = 500 * time.Millisecond
	minElectionTimeout = 400 * time.Millisecond
	heartbeatInterval  = 80 * time.Millisecond
	maxCallAge         = 10 * time.Second
	drainTimeout       = time.Minute
	tickPeriod         = 10 * time.Millisecond
	keyValidity        = 24 * time.Hour
)

// LoopbackTiming returns the timing of control processes for a fleet on loopback.
func LoopbackTiming() kwcontrol.Timing {
	return kwcontrol.Timing{
		EndpointLease: endpointLease,
		EntryLease:    viewLease + time.Second,
		GatherPeriod:  gatherPeriod,
		MaxCallAge:    maxCallAge,
		TickPeriod:    tickPeriod,
	}
}

// Engine is a fake model engine with its agent.
type Engine struct {
	Endpoint kwid.EndpointID
	Zone     kwid.AvailabilityZone
	Fake     *kwfake.Engine
	Agent    *kwagent.Role
	Events   *kwevent.Emitter
}

// RecordsServer is a fake records server with its agent.
type RecordsServer struct {
	Endpoint kwid.EndpointID
	Site     kwid.Site
	Fake     *kwfake.Records
	Agent    *kwagent.Role
	Events   *kwevent.Emitter
}

// Fleet is a running fleet. RecordStore belongs to the first site, SecondRecordStore to the second.
type Fleet struct {
	cfg               Config
	keyFolder         string
	controlAddresses  []string
	controlSockets    []*net.UDPConn
	peers             []kwcontrol.Peer
	adminURLs         []string
	emitters          []*kwevent.Emitter
	clock             *kwhlc.Clock
	RecordStore       *kwfake.RecordStore
	SecondRecordStore *kwfake.RecordStore
	Engines           []*Engine
	RecordsServers    []*RecordsServer
	Entries           []*kwagententry.Role
	Controls          []*kwcontrol.Role
}

// New starts every role of the fleet, applies the declaration and waits until every entry serves it.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:               cfg,
		keyFolder:         filepath.Join(cfg.Folder, "keys"),
		clock:             kwhlc.New(kwhlc.Config{}),
		RecordStore:       kwfake.NewRecordStore(),
		SecondRecordStore: kwfake.NewRecordStore(),
	}
	for _, step := range []func() error{f.startControls, f.startEngines, f.startRecordsServers, f.startEntries, f.applyDeclaration, f.waitReady} {
		if err := step(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) newEmitter(node kwid.NodeID) *kwevent.Emitter {
	e := kwevent.New(kwevent.Config{Node: node, Clock: f.clock, Log: f.cfg.Log})
	f.emitters = append(f.emitters, e)
	return e
}

// openKeys issues a key for a node, creating the authority if necessary, and opens the key store.
func (f *Fleet) openKeys(node kwid.NodeID, role kwkeys.Role) (*kwkeys.Store, error) {
	now := time.Now()
	if _, err := os.Stat(filepath.Join(f.keyFolder, kwkeys.AuthorityKeyFile)); err != nil {
		if err := kwkeys.CreateAuthority(f.keyFolder, now); err != nil {
			return nil, err
		}
	}
	req := kwkeys.IssueRequest{Folder: f.keyFolder, Node: node, Role: role, Validity: keyValidity}
	if err := kwkeys.Issue(req, now); err != nil {
		return nil, err
	}
	return kwkeys.Open(kwkeys.FolderConfig(f.keyFolder, node))
}

// applyDeclaration submits the declaration to the control role.
func (f *Fleet) applyDeclaration() error {
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

// waitReady waits until every entry serves and considers every endpoint live.
func (f *Fleet) waitReady() error {
	return WaitFor("the fleet to become ready", func() bool {
		for _, e := range f.Entries {
			if !e.Serving() || !f.seesAllLive(e) {
				return false
			}
		}
		return true
	})
}

// seesAllLive reports whether an entry considers every endpoint live.
func (f *Fleet) seesAllLive(e *kwagententry.Role) bool {
	for _, engine := range f.Engines {
		if e.EndpointState(engine.Endpoint) != "live" {
			return false
		}
	}
	for _, s := range f.RecordsServers {
		if e.EndpointState(s.Endpoint) != "live" {
			return false
		}
	}
	return true
}

// Timeline returns the events of all processes in the order of their timestamps.
func (f *Fleet) Timeline() []kwevent.Record {
	var lists [][]kwevent.Record
	for _, e := range f.emitters {
		lists = append(lists, e.Records())
	}
	return kwevent.MergeRecords(lists...)
}

// Close stops the entries gracefully, then kills the agents and fake servers, and last stops the control processes.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Stop()
	}
	for _, e := range f.Engines {
		e.Agent.Kill()
		e.Fake.Close()
	}
	for _, s := range f.RecordsServers {
		s.Agent.Kill()
		s.Fake.Close()
	}
	for _, c := range f.Controls {
		if c != nil {
			c.Stop()
		}
	}
	for _, s := range f.controlSockets {
		_ = s.Close()
	}
}

// TokenDigest returns the hex SHA-256 digest of a token, as a fleet declaration holds it.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// WriteRuns returns how often the records service of the first site ran a write.
func (f *Fleet) WriteRuns(path, body string) int {
	n := 0
	for _, w := range f.RecordStore.Counts().Writes {
		if w.Path == path && w.Body == body {
			n += w.Count
		}
	}
	return n
}

// AllEntriesSee reports whether every entry sees a records server in the given state.
func (f *Fleet) AllEntriesSee(s *RecordsServer, state string) bool {
	for _, e := range f.Entries {
		if e.EndpointState(s.Endpoint) != state {
			return false
		}
	}
	return true
}

// restartOnEmptyDisk starts a control process again with an empty data folder.
func (f *Fleet) restartOnEmptyDisk(i int) error {
	if err := os.RemoveAll(f.DataFolder(i)); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return f.StartControl(i, false)
}
