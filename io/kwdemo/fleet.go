package kwdemo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwclock"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlog"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwroute"
	"knapweedproxy/core/kwstate"
	"knapweedproxy/io/kwagent"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwentry"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwstandin"
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
	Policy        kwroute.Policy
	Seed          uint64
	Timing        kwcontrol.Timing
	// ViewLease is how long an entry serves without a confirmation.
	ViewLease    time.Duration
	AgentRenew   time.Duration
	EntryRenew   time.Duration
	StepTimeout  time.Duration
	KVTokens     int
	PrefixTokens int
	MaxBatch     int
	Log          logr.Logger
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

// QuickTiming returns spans for a fleet on loopback.
func QuickTiming() kwcontrol.Timing {
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
	StandIn  *kwstandin.Engine
	Agent    *kwagent.Role
	Events   *kwevent.Emitter
}

// Server is one records server with the agent beside it.
type Server struct {
	Endpoint kwid.EndpointID
	Site     kwid.Site
	StandIn  *kwstandin.Records
	Agent    *kwagent.Role
	Events   *kwevent.Emitter
}

// Fleet is a running fleet.
type Fleet struct {
	cfg      Config
	keys     string
	control  []string
	peers    []kwcontrol.Peer
	admins   []string
	events   []*kwevent.Emitter
	clock    *kwclock.Clock
	Ledger   *kwstandin.Ledger
	Second   *kwstandin.Ledger
	Engines  []*Engine
	Servers  []*Server
	Entries  []*kwentry.Role
	Controls []*kwcontrol.Role
}

// New starts every role of the fleet, applies the declaration and waits until every entry serves with it.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:    cfg,
		keys:   filepath.Join(cfg.Folder, "keys"),
		clock:  kwclock.New(kwclock.Config{}),
		Ledger: kwstandin.NewLedger(),
		Second: kwstandin.NewLedger(),
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
	if _, err := os.Stat(filepath.Join(f.keys, kwkeys.AuthorityKey)); err != nil {
		if err := kwkeys.Init(f.keys, now); err != nil {
			return nil, err
		}
	}
	req := kwkeys.Request{Folder: f.keys, Node: node, Role: role, Validity: keyValidity}
	if err := kwkeys.Issue(req, now); err != nil {
		return nil, err
	}
	return kwkeys.Open(kwkeys.FolderConfig(f.keys, node))
}

// freeAddresses reserves loopback ports, so that control processes can name each other before they start.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		socket, err := net.ListenPacket("udp", loopback)
		if err != nil {
			return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
		}
		defer func() { _ = socket.Close() }()
		out = append(out, socket.LocalAddr().String())
	}
	return out, nil
}

func (f *Fleet) startControls() error {
	addresses, err := freeAddresses(max(1, f.cfg.Controls))
	if err != nil {
		return err
	}
	f.control = addresses
	for i, a := range addresses {
		f.peers = append(f.peers, kwcontrol.Peer{Node: controlNode(i), Address: a})
	}
	f.Controls = make([]*kwcontrol.Role, len(addresses))
	f.admins = make([]string, len(addresses))
	for i := range addresses {
		if err := f.StartControl(i, i == 0); err != nil {
			return err
		}
	}
	return f.waitVoters(len(addresses))
}

func controlNode(i int) kwid.NodeID {
	return kwid.NodeID(fmt.Sprintf("control-%d", i+1))
}

// DataFolder returns the data folder of a control process.
func (f *Fleet) DataFolder(i int) string {
	return filepath.Join(f.cfg.Folder, string(controlNode(i)))
}

// StartControl starts a control process on its address, with what its data folder holds.
func (f *Fleet) StartControl(i int, bootstrap bool) error {
	node := controlNode(i)
	keys, err := f.store(node, kwkeys.RoleControl)
	if err != nil {
		return err
	}
	logCfg := kwlog.DefaultConfig("", f.cfg.Seed+uint64(i)+1)
	logCfg.ElectionMin = quickElection
	logCfg.Heartbeat = quickHeartbeat
	cfg := kwcontrol.Config{
		Node:        node,
		Listen:      f.control[i],
		AdminListen: loopback,
		DataFolder:  f.DataFolder(i),
		Bootstrap:   bootstrap,
		Timing:      f.cfg.Timing,
		State:       kwstate.DefaultConfig(),
		Log:         logCfg,
	}
	for k, p := range f.peers {
		if k != i {
			cfg.Peers = append(cfg.Peers, p)
		}
	}
	deps := kwcontrol.Deps{Keys: keys, Clock: f.clock, Events: f.emitter(node)}
	if f.cfg.Files != nil {
		deps.Files = f.cfg.Files(node)
	}
	role, err := kwcontrol.New(cfg, deps)
	if err != nil {
		return err
	}
	role.Start()
	f.Controls[i] = role
	f.admins[i] = role.AdminURL()
	return nil
}

const (
	waitLimit  = 30 * time.Second
	waitPeriod = 10 * time.Millisecond
)

// Wait polls a condition; it returns OperationFailed with the name if it does not hold within 30 s.
func Wait(name string, ok func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			return kwcode.New(kwcode.OperationFailed, "%s did not happen within %s", name, waitLimit)
		}
		time.Sleep(waitPeriod)
	}
	return nil
}

func (f *Fleet) waitVoters(n int) error {
	return Wait("a full set of voters", func() bool {
		status, ok := f.Leader()
		return ok && len(status.Log.Members.Voters) == n
	})
}

// Leader returns the status of the leading control process, or false.
func (f *Fleet) Leader() (kwcontrol.StatusReply, bool) {
	for i := range f.Controls {
		status, err := f.Status(i)
		if err == nil && status.Leading {
			return status, true
		}
	}
	return kwcontrol.StatusReply{}, false
}

// LeaderIndex returns which control process leads, or -1.
func (f *Fleet) LeaderIndex() int {
	for i := range f.Controls {
		status, err := f.Status(i)
		if err == nil && status.Leading {
			return i
		}
	}
	return -1
}

// Status asks a control process for its status.
func (f *Fleet) Status(i int) (kwcontrol.StatusReply, error) {
	var out kwcontrol.StatusReply
	err := f.get(f.admins[i]+"/admin/status", &out)
	return out, err
}

const adminTimeout = 10 * time.Second

func (f *Fleet) get(url string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return kwcode.New(kwcode.OperationFailed, "%v", err)
	}
	return doJSON(req, out)
}

func doJSON(req *http.Request, out any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var refused kwcontrol.ErrorReply
		_ = json.NewDecoder(resp.Body).Decode(&refused)
		return &kwcode.Error{Code: refused.Error.Code, Detail: refused.Error.Message}
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return nil
}

// Admin sends an operator's request to the leading control process.
func (f *Fleet) Admin(path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	var last error
	for _, admin := range f.admins {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, admin+path, bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			err = doJSON(req, out)
		}
		cancel()
		if err == nil {
			return nil
		}
		if last == nil || !kwcode.Is(err, kwcode.NotLeader) && !kwcode.Is(err, kwcode.PeerUnreachable) {
			last = err
		}
	}
	return last
}

// AdminURLs returns the base URLs for operators.
func (f *Fleet) AdminURLs() []string { return f.admins }

func (f *Fleet) startEngines() error {
	for _, s := range f.cfg.Stages {
		for k := range s.Servers {
			name := fmt.Sprintf("%s-%d", s.Name, k+1)
			if err := f.StartEngine(name, s); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	defaultKV       = 1 << 20
	defaultMaxBatch = 256
	loadLag         = 200 * time.Millisecond
)

// StartEngine starts a model server and the agent beside it.
func (f *Fleet) StartEngine(name string, s Stage) error {
	standIn, err := kwstandin.NewEngine(kwstandin.EngineConfig{
		Listen:       loopback,
		Model:        f.cfg.Model,
		ModelLayers:  f.cfg.Layers,
		Layers:       s.Layers,
		TokenRate:    s.TokenRate,
		MaxBatch:     orInt(f.cfg.MaxBatch, defaultMaxBatch),
		KVTokens:     orInt(f.cfg.KVTokens, defaultKV),
		PrefixTokens: f.cfg.PrefixTokens,
		LoadLag:      loadLag,
		ChecksFence:  len(f.Engines)%2 == 0,
	})
	if err != nil {
		return err
	}
	e := &Engine{Endpoint: kwid.EndpointID(name), Zone: s.Zone, StandIn: standIn}
	e.Agent, e.Events, err = f.agent(e.Endpoint, s.Zone, func(cfg *kwagent.Config) { cfg.EngineURL = standIn.URL() })
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, e)
	return nil
}

func orInt(n, usual int) int {
	if n > 0 {
		return n
	}
	return usual
}

func orSpan(d, usual time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return usual
}

func (f *Fleet) agent(endpoint kwid.EndpointID, zone kwid.AvailabilityZone, set func(*kwagent.Config)) (*kwagent.Role, *kwevent.Emitter, error) {
	node := kwid.NodeID("agent-" + string(endpoint))
	keys, err := f.store(node, kwkeys.RoleAgent)
	if err != nil {
		return nil, nil, err
	}
	cfg := kwagent.Config{
		Node:         node,
		Listen:       loopback,
		Endpoint:     endpoint,
		Site:         f.cfg.Site,
		Zone:         zone,
		Control:      f.control,
		Announce:     orSpan(f.cfg.AgentRenew, quickAnnounce),
		StepTimeout:  orSpan(f.cfg.StepTimeout, quickStep),
		DrainTimeout: drainTimeout,
	}
	set(&cfg)
	events := f.emitter(node)
	role, err := kwagent.New(cfg, kwagent.Deps{Keys: keys, Clock: f.clock, Events: events})
	if err != nil {
		return nil, nil, err
	}
	role.Start()
	return role, events, nil
}

func (f *Fleet) startServers() error {
	for k := range f.cfg.Records {
		if err := f.StartServer(fmt.Sprintf("records-%d", k+1), f.cfg.Site, f.Ledger); err != nil {
			return err
		}
		if f.cfg.SecondSite == "" {
			continue
		}
		if err := f.StartServer(fmt.Sprintf("second-%d", k+1), f.cfg.SecondSite, f.Second); err != nil {
			return err
		}
	}
	return nil
}

// StartServer starts a records server, which shares its site's ledger, and the agent beside it.
func (f *Fleet) StartServer(name string, site kwid.Site, ledger *kwstandin.Ledger) error {
	standIn, err := kwstandin.NewRecords(kwstandin.RecordsConfig{Listen: loopback, Name: name, Ledger: ledger})
	if err != nil {
		return err
	}
	s := &Server{Endpoint: kwid.EndpointID(name), Site: site, StandIn: standIn}
	if err := f.StartServerAgent(s); err != nil {
		return err
	}
	f.Servers = append(f.Servers, s)
	return nil
}

// StartServerAgent starts a new incarnation of the agent beside a records server.
func (f *Fleet) StartServerAgent(s *Server) error {
	zone := f.cfg.Stages[0].Zone
	agent, events, err := f.agent(s.Endpoint, zone, func(cfg *kwagent.Config) {
		cfg.ServiceURL = s.StandIn.URL()
		cfg.Service = ServiceName
		cfg.Site = s.Site
	})
	if err != nil {
		return err
	}
	s.Agent = agent
	s.Events = events
	return nil
}

func (f *Fleet) startEntries() error {
	for range f.cfg.Entries {
		if _, err := f.StartEntry(f.cfg.Site); err != nil {
			return err
		}
	}
	if f.cfg.SecondSite == "" {
		return nil
	}
	_, err := f.StartEntry(f.cfg.SecondSite)
	return err
}

// StartEntry starts one more entry at a site.
func (f *Fleet) StartEntry(site kwid.Site) (*kwentry.Role, error) {
	node := kwid.NodeID(fmt.Sprintf("entry-%d", len(f.Entries)+1))
	keys, err := f.store(node, kwkeys.RoleEntry)
	if err != nil {
		return nil, err
	}
	policy := f.cfg.Policy
	if policy == "" {
		policy = kwroute.FlowTwoChoice
	}
	role, err := kwentry.New(kwentry.Config{
		Node:         node,
		Listen:       loopback,
		HTTPListen:   loopback,
		Site:         site,
		Zone:         f.cfg.Stages[0].Zone,
		Control:      f.control,
		ViewLease:    orSpan(f.cfg.ViewLease, quickViewLease),
		Renew:        orSpan(f.cfg.EntryRenew, quickRenew),
		InFlight:     kwentry.DefaultInFlight,
		StepTimeout:  orSpan(f.cfg.StepTimeout, quickStep),
		DrainTimeout: drainTimeout,
		Policy:       policy,
		Seed:         f.cfg.Seed + uint64(len(f.Entries)),
		Retry:        kwretry.DefaultConfig(),
		Eject:        kwretry.DefaultEjectConfig(),
	}, kwentry.Deps{Keys: keys, Clock: f.clock, Events: f.emitter(node)})
	if err != nil {
		return nil, err
	}
	role.Start()
	f.Entries = append(f.Entries, role)
	return role, nil
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
	return f.Admin("/admin/config", body, &kwcontrol.ApplyReply{})
}

// waitReady waits until every entry serves and sees every endpoint as live.
func (f *Fleet) waitReady() error {
	return Wait("a ready fleet", func() bool {
		for _, e := range f.Entries {
			if !e.Serving() || !f.allSeen(e) {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) allSeen(e *kwentry.Role) bool {
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
	return kwevent.Merge(lists...)
}

// Close stops every role gracefully, callers' side first.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Stop()
	}
	for _, e := range f.Engines {
		e.Agent.Kill()
		e.StandIn.Close()
	}
	for _, s := range f.Servers {
		s.Agent.Kill()
		s.StandIn.Close()
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

// Ran returns how often the records service ran a write.
func (f *Fleet) Ran(path, body string) int {
	n := 0
	for _, w := range f.Ledger.Counts().Writes {
		if w.Path == path && w.Body == body {
			n += w.Count
		}
	}
	return n
}

// Seen tells whether every entry sees a records server in a state.
func (f *Fleet) Seen(s *Server, state string) bool {
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
