package kwdirectcontrol

import (
	"reflect"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwplacement"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
)

const (
	// planPeriod is the time between two looks at the placement.
	planPeriod = 100 * time.Millisecond
	// settleTime is how long no endpoint may join before an empty fleet is placed: one usual heartbeat and a half.
	settleTime = 1800 * time.Millisecond
	// orderTimeout bounds the wait for an engine's answer to an order.
	orderTimeout = 800 * time.Millisecond
	// orderRepeat is the pause before an order without an answer is sent again.
	orderRepeat = time.Second
	// orderLife is how long an accepted order may take beyond the usual time of a load before the placement is planned
	// anew: a few missed heartbeats.
	orderLife = 5 * time.Second
	// ordersAtOnce bounds the orders that wait for an answer, and with it the memory of a leader with many servers.
	ordersAtOnce = 64
	// freshTime is how long a new server waits for the one that it may replace to say that it leaves: a heartbeat and more.
	freshTime = 2 * time.Second
)

type placerConfig struct {
	Decoder Decoder
	Engines EngineClient
	Events  *kwevent.Emitter
	// Run starts a goroutine that ends with the hub.
	Run func(func())
}

// placer is the controller that gives orders to model servers while this process leads.
type placer struct {
	cfg     placerConfig
	epoch   uint64
	number  kwdeclaration.Number
	index   *kwdeclaration.Index
	next    time.Time
	joined  time.Time
	known   int
	engines map[kwid.EndpointID]*engineState
	// planned is what the last plan is made from, by service: an unchanged fleet is not planned again.
	planned map[kwid.ServiceName][]kwplacement.Server
	// planning tells which services have a plan in the making.
	planning map[kwid.ServiceName]bool
	// asking counts the orders that wait for an answer.
	asking int
	// answers and plans hold what orders came to and what was planned, until the control goroutine takes it in.
	mu      sync.Mutex
	answers []orderAnswer
	plans   []plan
}

// plan is what kwplacement made of a fleet of one engine.
type plan struct {
	epoch   uint64
	service kwid.ServiceName
	servers []kwplacement.Server
	orders  []kwplacement.Order
}

func newPlacer(cfg placerConfig) *placer {
	return &placer{
		cfg:      cfg,
		engines:  make(map[kwid.EndpointID]*engineState),
		planned:  make(map[kwid.ServiceName][]kwplacement.Server),
		planning: make(map[kwid.ServiceName]bool),
	}
}

// Run has plans made and sends orders; it waits neither for a plan, which takes long for a large fleet, nor for an engine.
func (p *placer) Run(now time.Time, b *kwreconcile.Tables) {
	if !b.Leading || now.Before(b.GatherUntil) || now.Before(p.next) && !p.hasPlans() {
		return
	}
	p.next = now.Add(planPeriod)
	if p.epoch != b.Epoch {
		p.epoch = b.Epoch
		p.engines = make(map[kwid.EndpointID]*engineState)
		p.asking = 0
		clear(p.planned)
		clear(p.planning)
		p.joined = now
		p.known = 0
	}
	p.learn(b)
	p.takeAnswers(now)
	if p.index == nil {
		return
	}
	rows := b.Roster.Since(0)
	p.noteJoins(now, rows)
	done := p.takePlans()
	for i := range p.index.Declaration.Services {
		service := &p.index.Declaration.Services[i]
		if service.Engine != nil && service.Engine.Layers > 0 {
			p.place(now, service, rows, done[service.Name])
		}
	}
}

// learn decodes the declaration in force when its number changes.
func (p *placer) learn(b *kwreconcile.Tables) {
	d := b.State.Declared()
	if d.Number == p.number {
		return
	}
	p.number = d.Number
	content, err := kwdirectproto.Decompress(d.Content)
	if err == nil {
		var decl *kwdeclaration.Declaration
		if decl, err = p.cfg.Decoder.Decode(content); err == nil {
			p.forgetChanged(decl)
			p.index = kwdeclaration.NewIndex(decl)
			return
		}
	}
	p.cfg.Events.Emit(kwevent.DeclarationFailed, "", kwevent.F("number", d.Number), kwevent.F("error", err.Error()))
}

// forgetChanged has the fleets of engines that a new declaration describes in another way planned anew.
func (p *placer) forgetChanged(d *kwdeclaration.Declaration) {
	for i := range d.Services {
		s := &d.Services[i]
		if p.index == nil {
			return
		}
		if old := p.index.Service(s.Name); old == nil || !reflect.DeepEqual(old.Engine, s.Engine) {
			delete(p.planned, s.Name)
		}
	}
}

func (p *placer) noteJoins(now time.Time, rows []kwmembership.RosterRow) {
	if len(rows) > p.known {
		p.joined = now
	}
	p.known = len(rows)
}

func (p *placer) place(now time.Time, service *kwdeclaration.Service, rows []kwmembership.RosterRow, done plan) {
	f := p.fleetOf(now, service, rows)
	p.repeat(now, f.at)
	p.obey(now, done, service.Engine, f)
	if len(f.servers) == 0 || f.empty && now.Sub(p.joined) < settleTime {
		return
	}
	if p.planning[service.Name] || slices.Equal(p.planned[service.Name], f.servers) {
		return
	}
	p.planned[service.Name] = f.servers
	p.planning[service.Name] = true
	next := plan{epoch: p.epoch, service: service.Name, servers: f.servers}
	p.cfg.Run(func() {
		next.orders = kwplacement.Plan(service.Engine, next.servers)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.plans = append(p.plans, next)
	})
}

func (p *placer) hasPlans() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.plans) > 0
}

// takePlans returns the plans that were finished since the last look, by service.
func (p *placer) takePlans() map[kwid.ServiceName]plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[kwid.ServiceName]plan)
	for _, done := range p.plans {
		if done.epoch == p.epoch {
			out[done.service] = done
			delete(p.planning, done.service)
		}
	}
	p.plans = nil
	return out
}

// obey gives the orders of a plan to the servers that are still as they were when it was made; the others are in the next.
func (p *placer) obey(now time.Time, done plan, e *kwdeclaration.Engine, f fleet) {
	for _, o := range done.orders {
		if same(done.servers, f.servers, o.Endpoint) {
			p.order(now, f.at[o.Endpoint], o.Layers, e)
		}
	}
}
