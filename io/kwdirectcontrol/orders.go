package kwdirectcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwevent"
)

// engineState is what the leader knows of the orders to one engine.
type engineState struct {
	born    kwmembership.StartMillis
	orders  uint64
	joined  time.Time
	target  kwid.LayerRange
	ordered bool
	asking  bool
	since   time.Time
	retry   time.Time
}

type orderAnswer struct {
	epoch  uint64
	id     kwid.EndpointID
	born   kwmembership.StartMillis
	target kwid.LayerRange
	result OrderResult
	state  *EngineState
	err    error
}

func (p *placer) order(now time.Time, a kwmembership.Announcement, layers kwid.LayerRange, e *kwdeclaration.Engine) {
	s := p.engines[a.ID]
	share := float64(layers.Len()) / float64(e.Layers)
	slowed := max(1, len(p.engines)/max(1, e.ConcurrentLoads))
	s.target = layers
	s.ordered = true
	s.since = now.Add(time.Duration(share*float64(e.LoadTime))*time.Duration(slowed) + orderLife)
	p.send(now, a, s)
}

// repeat sends orders that got no answer once more; the count of orders keeps a late copy from taking effect twice.
func (p *placer) repeat(now time.Time, at map[kwid.EndpointID]kwmembership.Announcement) {
	for id, s := range p.engines {
		a, ok := at[id]
		if ok && s.ordered && !s.asking && !s.retry.IsZero() && now.After(s.retry) {
			p.send(now, a, s)
		}
	}
}

// send gives an order, or leaves it for the next look if many wait for an answer already.
func (p *placer) send(now time.Time, a kwmembership.Announcement, s *engineState) {
	if p.asking >= ordersAtOnce {
		s.retry = now
		return
	}
	p.asking++
	s.asking = true
	s.retry = time.Time{}
	epoch, orders, target := p.epoch, s.orders, s.target
	p.cfg.Events.Emit(kwevent.OrderSent, "", kwevent.F("endpoint", a.ID), kwevent.F("address", a.Address),
		kwevent.F("from", target.From), kwevent.F("to", target.To), kwevent.F("orders", orders))
	p.cfg.Run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		out := orderAnswer{epoch: epoch, id: a.ID, born: a.StartedMillis, target: target}
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
		if a.epoch != p.epoch {
			continue
		}
		p.asking--
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
		s.orders = a.state.OrderCount
		s.ordered = a.state.Busy || a.state.Layers == a.target
		fields = append(fields, kwevent.F("orders", a.state.OrderCount), kwevent.F("busy", a.state.Busy))
	}
	p.cfg.Events.Emit(kwevent.OrderAnswered, "", fields...)
}
