package kwdemo

import (
	"fmt"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwagent"
	"knapweedproxy/io/kwagententry"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwfake"
	"knapweedproxy/io/kwkeys"
)

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
	defaultKVTokens = 1 << 20
	defaultMaxBatch = 256
	loadLag         = 200 * time.Millisecond
)

// StartEngine starts a fake model engine and its agent. Every other engine ignores fencing tokens, so that tests can
// check that its agent enforces them.
func (f *Fleet) StartEngine(name string, s Stage) error {
	fake, err := kwfake.NewEngine(kwfake.EngineConfig{
		Listen:       loopback,
		Model:        f.cfg.Model,
		ModelLayers:  f.cfg.Layers,
		Layers:       s.Layers,
		TokenRate:    s.TokenRate,
		MaxBatch:     intOrDefault(f.cfg.MaxBatch, defaultMaxBatch),
		KVTokens:     intOrDefault(f.cfg.KVTokens, defaultKVTokens),
		PrefixTokens: f.cfg.PrefixTokens,
		LoadLag:      loadLag,
		ChecksFence:  len(f.Engines)%2 == 0,
	})
	if err != nil {
		return err
	}
	e := &Engine{Endpoint: kwid.EndpointID(name), Zone: s.Zone, Fake: fake}
	e.Agent, e.Events, err = f.startAgent(e.Endpoint, s.Zone, func(cfg *kwagent.Config) { cfg.EngineURL = fake.URL() })
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, e)
	return nil
}

func intOrDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

func durationOrDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// startAgent starts an agent for an endpoint; set completes its configuration.
func (f *Fleet) startAgent(endpoint kwid.EndpointID, zone kwid.AvailabilityZone, set func(*kwagent.Config)) (*kwagent.Role, *kwevent.Emitter, error) {
	node := kwid.NodeID("agent-" + string(endpoint))
	keys, err := f.openKeys(node, kwkeys.RoleAgent)
	if err != nil {
		return nil, nil, err
	}
	cfg := kwagent.Config{
		Node:             node,
		Listen:           loopback,
		Endpoint:         endpoint,
		Site:             f.cfg.Site,
		Zone:             zone,
		ControlAddresses: f.controlAddresses,
		AnnounceInterval: durationOrDefault(f.cfg.AgentAnnounceInterval, announceInterval),
		StepTimeout:      durationOrDefault(f.cfg.StepTimeout, stepTimeout),
		DrainTimeout:     drainTimeout,
	}
	set(&cfg)
	events := f.newEmitter(node)
	role, err := kwagent.New(cfg, kwagent.Deps{Keys: keys, Clock: f.clock, Events: events})
	if err != nil {
		return nil, nil, err
	}
	role.Start()
	return role, events, nil
}

func (f *Fleet) startRecordsServers() error {
	for k := range f.cfg.RecordsServers {
		if err := f.StartRecordsServer(fmt.Sprintf("records-%d", k+1), f.cfg.Site, f.RecordStore); err != nil {
			return err
		}
		if f.cfg.SecondSite == "" {
			continue
		}
		if err := f.StartRecordsServer(fmt.Sprintf("second-%d", k+1), f.cfg.SecondSite, f.SecondRecordStore); err != nil {
			return err
		}
	}
	return nil
}

// StartRecordsServer starts a fake records server, which shares the record store of its site, and its agent.
func (f *Fleet) StartRecordsServer(name string, site kwid.Site, store *kwfake.RecordStore) error {
	fake, err := kwfake.NewRecords(kwfake.RecordsConfig{Listen: loopback, Name: name, RecordStore: store})
	if err != nil {
		return err
	}
	s := &RecordsServer{Endpoint: kwid.EndpointID(name), Site: site, Fake: fake}
	if err := f.StartRecordsAgent(s); err != nil {
		return err
	}
	f.RecordsServers = append(f.RecordsServers, s)
	return nil
}

// StartRecordsAgent starts a new incarnation of the agent of a records server.
func (f *Fleet) StartRecordsAgent(s *RecordsServer) error {
	zone := f.cfg.Stages[0].Zone
	agent, events, err := f.startAgent(s.Endpoint, zone, func(cfg *kwagent.Config) {
		cfg.ServiceURL = s.Fake.URL()
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

// StartEntry adds an entry at a site.
func (f *Fleet) StartEntry(site kwid.Site) (*kwagententry.Role, error) {
	node := kwid.NodeID(fmt.Sprintf("entry-%d", len(f.Entries)+1))
	keys, err := f.openKeys(node, kwkeys.RoleEntry)
	if err != nil {
		return nil, err
	}
	policy := f.cfg.Policy
	if policy == "" {
		policy = kwmaxflow.FlowTwoChoice
	}
	role, err := kwagententry.New(kwagententry.Config{
		Node:              node,
		Listen:            loopback,
		HTTPListen:        loopback,
		Site:              site,
		Zone:              f.cfg.Stages[0].Zone,
		ControlAddresses:  f.controlAddresses,
		ViewLease:         durationOrDefault(f.cfg.ViewLease, viewLease),
		ViewRenewInterval: durationOrDefault(f.cfg.ViewRenewInterval, viewRenewInterval),
		MaxInFlight:       kwagententry.DefaultMaxInFlight,
		StepTimeout:       durationOrDefault(f.cfg.StepTimeout, stepTimeout),
		DrainTimeout:      drainTimeout,
		ChainPolicy:       policy,
		ChainSeed:         f.cfg.Seed + uint64(len(f.Entries)),
		RetryBudget:       kwretry.DefaultBudgetConfig(),
		Ejector:           kwretry.DefaultEjectorConfig(),
	}, kwagententry.Deps{Keys: keys, Clock: f.clock, Events: f.newEmitter(node)})
	if err != nil {
		return nil, err
	}
	role.Start()
	f.Entries = append(f.Entries, role)
	return role, nil
}
