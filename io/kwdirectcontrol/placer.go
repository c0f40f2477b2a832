package kwdirectcontrol

import (
	"fmt"
	"reflect"
	"runtime/debug"
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
	// planInterval is the interval between runs of the placer.
	planInterval = 100 * time.Millisecond
	// settleTime is how long the roster must not have grown before a fleet without layers is planned: one and a half
	// heartbeat intervals.
	settleTime = 1800 * time.Millisecond
	// orderTimeout bounds the wait for an engine's response to an order.
	orderTimeout = 800 * time.Millisecond
	// orderRetryDelay is the delay before an order without a response is sent again.
	orderRetryDelay = time.Second
	// orderGrace is how long an order may exceed the usual load time before the placement is planned again; it covers a
	// few missed heartbeats.
	orderGrace = 5 * time.Second
	// maxPendingOrders bounds the orders that await a response, and so the memory of a leader with many servers.
	maxPendingOrders = 64
	// justJoinedTime is how long a new server gets no layers while the others serve all layers, since the server that it
	// may replace has perhaps not yet announced that it leaves; longer than a heartbeat interval.
	justJoinedTime = 2 * time.Second
	// returnWait is how long after a server has departed its zone is not rearranged, since the server may return: a process that
	// crashed, or a VM that was cut off for a moment, is back within seconds and known after a heartbeat interval at most.
	returnWait = 7 * time.Second
)

type placerConfig struct {
	Decoder Decoder
	Engines EngineClient
	Events  *kwevent.Emitter
	// Plan computes the orders for a fleet; kwplacement.Plan if nil.
	Plan func(*kwdeclaration.Engine, []kwplacement.Server) []kwplacement.Order
	// Run runs a function in a goroutine, which the Server waits for when it stops.
	Run func(func())
	// ReportLeaving records that an endpoint process has said in a response that it leaves. It is called by functions of Run.
	ReportLeaving func(kwmembership.Process)
}

// placer is the controller that plans the placement of layers and sends orders to model servers while this process
// leads.
type placer struct {
	cfg   placerConfig
	epoch uint64
	// leadingSince is when the epoch began here.
	leadingSince      time.Time
	declarationNumber kwdeclaration.Number
	index             *kwdeclaration.Index
	// syncedRoster is the roster that was last told the services of a declaration, and syncedNumber the number of that.
	syncedRoster *kwmembership.Roster
	syncedNumber kwdeclaration.Number
	nextRun      time.Time
	lastJoin     time.Time
	knownRows    int
	orderStates  map[kwid.EndpointID]*orderState
	// departedAt is when this leader first saw that each server which is leaving, lost or gone is.
	departedAt map[kwid.EndpointID]time.Time
	// planned holds the input of the last plan of each service; an unchanged fleet is not planned again.
	planned map[kwid.ServiceName][]kwplacement.Server
	// planning holds the services whose plan is being computed.
	planning map[kwid.ServiceName]bool
	// pendingOrders counts the orders that await a response.
	pendingOrders int
	// replies and finishedPlans hold results of the background goroutines until the control goroutine processes them; mu
	// guards both.
	mu            sync.Mutex
	replies       []orderReply
	finishedPlans []plan
}

// plan is a placement that kwplacement computed for the servers of a service.
type plan struct {
	epoch   uint64
	service kwid.ServiceName
	servers []kwplacement.Server
	orders  []kwplacement.Order
}

func newPlacer(cfg placerConfig) *placer {
	if cfg.Plan == nil {
		cfg.Plan = kwplacement.Plan
	}
	return &placer{
		cfg:         cfg,
		orderStates: make(map[kwid.EndpointID]*orderState),
		planned:     make(map[kwid.ServiceName][]kwplacement.Server),
		planning:    make(map[kwid.ServiceName]bool),
	}
}

// Run starts to compute plans in the background and sends the orders of finished ones. It waits neither for a plan,
// which takes long for a large fleet, nor for an engine.
func (p *placer) Run(now time.Time, t *kwreconcile.Tables) {
	if t.Leading {
		p.syncServices(t)
	}
	if !t.Leading || now.Before(t.GatherUntil) || now.Before(p.nextRun) && !p.hasFinishedPlans() {
		return
	}
	p.nextRun = now.Add(planInterval)
	if p.epoch != t.Epoch {
		p.epoch = t.Epoch
		p.orderStates = make(map[kwid.EndpointID]*orderState)
		p.pendingOrders = 0
		clear(p.planned)
		clear(p.planning)
		clear(p.departedAt)
		p.lastJoin, p.leadingSince = now, now
		p.knownRows = 0
	}
	p.processReplies(now)
	if p.index == nil {
		return
	}
	rows := t.Roster.Since(0)
	p.trackJoins(now, rows)
	p.trackDepartures(now, rows)
	finished := p.takeFinishedPlans()
	for i := range p.index.Declaration.Services {
		service := &p.index.Declaration.Services[i]
		if service.Engine != nil && service.Engine.Layers > 0 {
			p.planService(now, service, rows, finished[service.Name])
		}
	}
}

// syncServices tells the roster which services the declaration in force names, whenever either is new.
func (p *placer) syncServices(t *kwreconcile.Tables) {
	p.updateDeclaration(t)
	if p.syncedRoster == t.Roster && p.syncedNumber == p.declarationNumber {
		return
	}
	p.syncedRoster, p.syncedNumber = t.Roster, p.declarationNumber
	services := make(map[kwid.ServiceName]bool)
	if p.index != nil {
		for _, s := range p.index.Declaration.Services {
			services[s.Name] = true
		}
	}
	t.Roster.SetServices(services)
}

// updateDeclaration decodes the declaration in force whenever its number changes.
func (p *placer) updateDeclaration(t *kwreconcile.Tables) {
	d := t.State.Declared()
	if d.Number == p.declarationNumber {
		return
	}
	p.declarationNumber = d.Number
	content, err := kwdirectproto.Decompress(d.Content)
	if err == nil {
		var decl *kwdeclaration.Declaration
		if decl, err = p.cfg.Decoder.Decode(content); err == nil {
			p.invalidateChangedEngines(decl)
			index := kwdeclaration.NewIndex(decl)
			p.reportKeyCheck(index)
			p.index = index
			return
		}
	}
	p.cfg.Events.Emit(kwevent.DeclarationFailed, "", kwevent.F("number", d.Number), kwevent.F("error", err.Error()))
}

// reportKeyCheck logs whether a new declaration has requests need keys, if that is a change.
func (p *placer) reportKeyCheck(next *kwdeclaration.Index) {
	if before, after := p.index.KeyCheck(), next.KeyCheck(); before != after {
		p.cfg.Events.Emit(kwevent.KeyCheckDeclared, "", kwevent.F("number", next.Declaration.Number), kwevent.F("before", before), kwevent.F("after", after))
	}
}

// invalidateChangedEngines discards the last plans of the services whose engine differs in a new declaration, so that
// their fleets are planned again.
func (p *placer) invalidateChangedEngines(d *kwdeclaration.Declaration) {
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

// trackJoins sets lastJoin if the roster has grown since the last run.
func (p *placer) trackJoins(now time.Time, rows []kwmembership.RosterRow) {
	if len(rows) > p.knownRows {
		p.lastJoin = now
	}
	p.knownRows = len(rows)
}

// trackDepartures updates departedAt. For a new leader, the servers that an earlier one knew as departed depart anew.
func (p *placer) trackDepartures(now time.Time, rows []kwmembership.RosterRow) {
	departedAt := make(map[kwid.EndpointID]time.Time)
	for _, row := range rows {
		if row.State == kwmembership.Live {
			continue
		}
		at, ok := p.departedAt[row.Announcement.ID]
		if !ok {
			at = now
		}
		departedAt[row.Announcement.ID] = at
	}
	p.departedAt = departedAt
}

// planService sends the orders of a service's finished plan, and starts the next plan if the fleet has changed.
func (p *placer) planService(now time.Time, service *kwdeclaration.Service, rows []kwmembership.RosterRow, finished plan) {
	f := p.liveFleet(now, service, rows)
	p.retryOrders(now, f.announcements)
	p.sendPlannedOrders(now, finished, service.Engine, f)
	if len(f.servers) == 0 || f.empty && now.Sub(p.lastJoin) < settleTime {
		return
	}
	if p.planning[service.Name] || slices.Equal(p.planned[service.Name], f.servers) {
		return
	}
	p.planned[service.Name] = f.servers
	p.planning[service.Name] = true
	next := plan{epoch: p.epoch, service: service.Name, servers: f.servers}
	p.cfg.Run(func() {
		next.orders = p.safePlan(service, next.servers)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.finishedPlans = append(p.finishedPlans, next)
	})
}

// safePlan returns no orders if the plan panics: a fleet that cannot be planned must not end the leader.
func (p *placer) safePlan(service *kwdeclaration.Service, servers []kwplacement.Server) (orders []kwplacement.Order) {
	defer func() {
		if cause := recover(); cause != nil {
			orders = nil
			p.cfg.Events.Emit(kwevent.PlanFailed, "", kwevent.F("service", service.Name), kwevent.F("servers", len(servers)),
				kwevent.F("error", fmt.Sprint(cause)), kwevent.F("stack", string(debug.Stack())))
		}
	}()
	return p.cfg.Plan(service.Engine, servers)
}

func (p *placer) hasFinishedPlans() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.finishedPlans) > 0
}

// takeFinishedPlans returns the plans that were finished since the last run, by service.
func (p *placer) takeFinishedPlans() map[kwid.ServiceName]plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[kwid.ServiceName]plan)
	for _, finished := range p.finishedPlans {
		if finished.epoch == p.epoch {
			out[finished.service] = finished
			delete(p.planning, finished.service)
		}
	}
	p.finishedPlans = nil
	return out
}

// sendPlannedOrders sends the orders of a finished plan to the servers that have not changed since the plan was
// started. A server keeps the layers that it holds if another one has departed since, which perhaps held them too. The next
// plan covers the others.
func (p *placer) sendPlannedOrders(now time.Time, finished plan, e *kwdeclaration.Engine, f fleet) {
	lost := lostServer(finished.servers, f)
	for _, o := range finished.orders {
		a := f.announcements[o.Endpoint]
		if unchanged(finished.servers, f.servers, o.Endpoint) && (!lost || holds(o.Layers, a.Layers)) {
			p.startOrder(now, a, o.Layers, e)
		}
	}
}
