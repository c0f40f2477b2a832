package kwhub

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwboard"
	"knapweedproxy/core/kwdeclare"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmember"
	"knapweedproxy/core/kwplace"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwview"
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
	// freshTime is how long a new server waits for the one that it may replace to say that it leaves: a heartbeat and more.
	freshTime = 2 * time.Second
)

type placerConfig struct {
	Decoder Decoder
	Engines Engines
	Events  *kwevent.Emitter
	// Run starts a goroutine that ends with the hub.
	Run func(func())
}

// placer is the controller that gives orders to model servers while this process leads.
type placer struct {
	cfg     placerConfig
	epoch   uint64
	number  kwdeclare.Number
	index   *kwdeclare.Index
	next    time.Time
	joined  time.Time
	known   int
	engines map[kwid.EndpointID]*engineState
	// planned is what the last plan was made from, by service: an unchanged fleet is not planned again.
	planned map[kwid.ServiceName][]kwplace.Server
	// answers holds what orders came to, until the control goroutine takes it in.
	mu      sync.Mutex
	answers []orderAnswer
}

// engineState is what the leader knows of the orders to one engine.
type engineState struct {
	born    kwmember.BirthMillis
	orders  uint64
	joined  time.Time
	target  kwid.LayerRange
	ordered bool
	asking  bool
	since   time.Time
	retry   time.Time
}

type orderAnswer struct {
	id     kwid.EndpointID
	born   kwmember.BirthMillis
	target kwid.LayerRange
	result OrderResult
	state  *EngineState
	err    error
}

func newPlacer(cfg placerConfig) *placer {
	return &placer{cfg: cfg, engines: make(map[kwid.EndpointID]*engineState), planned: make(map[kwid.ServiceName][]kwplace.Server)}
}

// Run plans and sends orders; it never waits for an engine.
func (p *placer) Run(now time.Time, b *kwboard.Board) {
	if !b.Leading || now.Before(b.Gather) || now.Before(p.next) {
		return
	}
	p.next = now.Add(planPeriod)
	if p.epoch != b.Epoch {
		p.epoch = b.Epoch
		p.engines = make(map[kwid.EndpointID]*engineState)
		clear(p.planned)
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
	for i := range p.index.Declaration.Services {
		service := &p.index.Declaration.Services[i]
		if service.Engine != nil && service.Engine.Layers > 0 {
			p.place(now, service, rows)
		}
	}
}

// learn decodes the declaration in force when its number changes.
func (p *placer) learn(b *kwboard.Board) {
	d := b.State.Declared()
	if d.Number == p.number {
		return
	}
	p.number = d.Number
	content, err := kwview.Unpack(d.Content)
	if err == nil {
		var decl *kwdeclare.Declaration
		if decl, err = p.cfg.Decoder.Decode(content); err == nil {
			p.forgetChanged(decl)
			p.index = kwdeclare.NewIndex(decl)
			return
		}
	}
	p.cfg.Events.Emit(kwevent.DeclarationFailed, "", kwevent.F("number", d.Number), kwevent.F("error", err.Error()))
}

// forgetChanged has the fleets of engines that a new declaration describes in another way planned anew.
func (p *placer) forgetChanged(d *kwdeclare.Declaration) {
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

func (p *placer) noteJoins(now time.Time, rows []kwmember.Row) {
	if len(rows) > p.known {
		p.joined = now
	}
	p.known = len(rows)
}

func (p *placer) place(now time.Time, service *kwdeclare.Service, rows []kwmember.Row) {
	var servers []kwplace.Server
	at := make(map[kwid.EndpointID]kwmember.Announcement)
	ended := endedPlaces(service.Name, rows)
	fresh := true
	for _, row := range rows {
		a := row.Announcement
		if a.Service != service.Name || row.State != kwmember.Live {
			continue
		}
		kind := service.Engine.Accelerator(a.Accelerator)
		if kind == nil {
			continue
		}
		s := p.stateOf(now, a)
		if ended[a.Address] {
			// A server that has started again in place replaces no other.
			s.joined = time.Time{}
		}
		server := kwplace.Server{ID: a.ID, Zone: a.Zone, MemoryMB: kind.MemoryMB, Pace: kind.Pace, Layers: a.Layers, Fresh: now.Sub(s.joined) < freshTime}
		if s.ordered {
			server.Layers, server.Ordered = s.target, true
		}
		fresh = fresh && server.Layers.Len() == 0
		at[a.ID] = a
		servers = append(servers, server)
	}
	p.repeat(now, at)
	if len(servers) == 0 || fresh && now.Sub(p.joined) < settleTime {
		return
	}
	if slices.Equal(p.planned[service.Name], servers) {
		return
	}
	p.planned[service.Name] = servers
	for _, o := range kwplace.Plan(service.Engine, servers) {
		p.order(now, at[o.Endpoint], o.Layers, service.Engine)
	}
}

// endedPlaces lists the addresses at which servers of a service have ended.
func endedPlaces(service kwid.ServiceName, rows []kwmember.Row) map[string]bool {
	out := make(map[string]bool)
	for _, row := range rows {
		if row.Announcement.Service == service && (row.State == kwmember.Lost || row.State == kwmember.Gone) {
			out[row.Announcement.Address] = true
		}
	}
	return out
}

// stateOf returns the order state of an endpoint's present life; an order is done once the endpoint reports its range.
func (p *placer) stateOf(now time.Time, a kwmember.Announcement) *engineState {
	s, ok := p.engines[a.ID]
	if !ok || s.born != a.Born {
		s = &engineState{born: a.Born, joined: now}
		p.engines[a.ID] = s
	}
	if s.ordered && (a.Layers == s.target || now.After(s.since)) {
		s.ordered = false
	}
	return s
}

func (p *placer) order(now time.Time, a kwmember.Announcement, layers kwid.LayerRange, e *kwdeclare.Engine) {
	s := p.engines[a.ID]
	share := float64(layers.Len()) / float64(e.Layers)
	slowed := max(1, len(p.engines)/max(1, e.LoadsAtOnce))
	s.target = layers
	s.ordered = true
	s.since = now.Add(time.Duration(share*float64(e.LoadTime))*time.Duration(slowed) + orderLife)
	p.send(now, a, s)
}

// repeat sends orders that got no answer once more; the count of orders keeps a late copy from taking effect twice.
func (p *placer) repeat(now time.Time, at map[kwid.EndpointID]kwmember.Announcement) {
	for id, s := range p.engines {
		a, ok := at[id]
		if ok && s.ordered && !s.asking && !s.retry.IsZero() && now.After(s.retry) {
			p.send(now, a, s)
		}
	}
}

func (p *placer) send(_ time.Time, a kwmember.Announcement, s *engineState) {
	s.asking = true
	s.retry = time.Time{}
	orders, target := s.orders, s.target
	p.cfg.Events.Emit(kwevent.OrderSent, "", kwevent.F("endpoint", a.ID), kwevent.F("address", a.Address),
		kwevent.F("from", target.From), kwevent.F("to", target.To), kwevent.F("orders", orders))
	p.cfg.Run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		out := orderAnswer{id: a.ID, born: a.Born, target: target}
		out.result, out.err = p.cfg.Engines.Place(ctx, a.Address, target, orders)
		if out.err == nil && out.result == OrderConflict {
			var state EngineState
			if state, out.err = p.cfg.Engines.State(ctx, a.Address); out.err == nil {
				out.state = &state
			}
		}
		p.mu.Lock()
		p.answers = append(p.answers, out)
		p.mu.Unlock()
	})
}

func (p *placer) takeAnswers(now time.Time) {
	p.mu.Lock()
	answers := p.answers
	p.answers = nil
	p.mu.Unlock()
	for _, a := range answers {
		s, ok := p.engines[a.id]
		if !ok || s.born != a.born {
			continue
		}
		s.asking = false
		p.take(now, s, a)
	}
}

func (p *placer) take(now time.Time, s *engineState, a orderAnswer) {
	fields := []kwevent.Field{
		kwevent.F("endpoint", a.id), kwevent.F("from", a.target.From), kwevent.F("to", a.target.To), kwevent.F("result", a.result),
	}
	switch {
	case a.err != nil:
		s.retry = now.Add(orderRepeat)
		fields = append(fields, kwevent.F("error", a.err.Error()))
	case a.result == OrderBegun:
		s.orders++
	case a.state != nil:
		s.orders = a.state.Orders
		s.ordered = a.state.Busy || a.state.Layers == a.target
		fields = append(fields, kwevent.F("orders", a.state.Orders), kwevent.F("busy", a.state.Busy))
	}
	p.cfg.Events.Emit(kwevent.OrderAnswered, "", fields...)
}
