package kwdirectcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwevent"
)

// orderState is what the leader knows about the orders to one engine.
type orderState struct {
	startedMillis kwmembership.StartMillis
	orderCount    uint64
	// firstSeen is when this leader first saw the process that started at startedMillis.
	firstSeen time.Time
	target    kwid.LayerRange
	// ordered means that the order for target is not yet known to be complete.
	ordered       bool
	awaitingReply bool
	// deadline is when the order counts as ended even if the endpoint does not announce target.
	deadline time.Time
	// retryAt is when an order with an unknown result is sent again; zero means not at all.
	retryAt time.Time
}

// orderReply is the outcome of sending one order; state is set if the engine rejected the order.
type orderReply struct {
	epoch         uint64
	id            kwid.EndpointID
	startedMillis kwmembership.StartMillis
	target        kwid.LayerRange
	result        OrderResult
	state         *EngineState
	err           error
}

// startOrder orders an engine to hold layers. The deadline allows for all engines loading layers at the same time, of
// which only e.ConcurrentLoads load at full speed.
func (p *placer) startOrder(now time.Time, a kwmembership.Announcement, layers kwid.LayerRange, e *kwdeclaration.Engine) {
	s := p.orderStates[a.ID]
	share := float64(layers.Len()) / float64(e.Layers)
	slowdown := max(1, len(p.orderStates)/max(1, e.ConcurrentLoads))
	s.target = layers
	s.ordered = true
	s.deadline = now.Add(time.Duration(share*float64(e.LoadTime))*time.Duration(slowdown) + orderGrace)
	p.sendOrder(now, a, s)
}

// retryOrders sends orders again whose result is unknown. Since an order states how many orders the engine has accepted
// before, a duplicate has no effect.
func (p *placer) retryOrders(now time.Time, announcements map[kwid.EndpointID]kwmembership.Announcement) {
	for id, s := range p.orderStates {
		a, ok := announcements[id]
		if ok && s.ordered && !s.awaitingReply && !s.retryAt.IsZero() && now.After(s.retryAt) {
			p.sendOrder(now, a, s)
		}
	}
}

// sendOrder sends the order for s.target, or leaves it to the next run while maxPendingOrders orders await a response.
func (p *placer) sendOrder(now time.Time, a kwmembership.Announcement, s *orderState) {
	if p.pendingOrders >= maxPendingOrders {
		s.retryAt = now
		return
	}
	p.pendingOrders++
	s.awaitingReply = true
	s.retryAt = time.Time{}
	epoch, orderCount, target := p.epoch, s.orderCount, s.target
	p.cfg.Events.Emit(kwevent.OrderSent, "", kwevent.F("endpoint", a.ID), kwevent.F("address", a.Address),
		kwevent.F("from", target.From), kwevent.F("to", target.To), kwevent.F("orders", orderCount))
	p.cfg.Run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		reply := orderReply{epoch: epoch, id: a.ID, startedMillis: a.StartedMillis, target: target}
		placed, err := p.cfg.Engines.Place(ctx, a.ID, a.Address, target, orderCount)
		leaving := placed.Leaving
		reply.result, reply.err = placed.Result, err
		if reply.err == nil && reply.result == OrderConflict {
			var state EngineState
			if state, reply.err = p.cfg.Engines.State(ctx, a.ID, a.Address); reply.err == nil {
				reply.state = &state
			}
			leaving = leaving || state.Leaving
		}
		if leaving {
			p.cfg.ReportLeaving(a.Process())
		}
		p.mu.Lock()
		p.replies = append(p.replies, reply)
		p.mu.Unlock()
	})
}

// processReplies applies the replies that have arrived since the last run; it drops those that belong to an earlier
// epoch or an earlier process of the endpoint.
func (p *placer) processReplies(now time.Time) {
	p.mu.Lock()
	replies := p.replies
	p.replies = nil
	p.mu.Unlock()
	for _, r := range replies {
		if r.epoch != p.epoch {
			continue
		}
		p.pendingOrders--
		s, ok := p.orderStates[r.id]
		if !ok || s.startedMillis != r.startedMillis {
			continue
		}
		s.awaitingReply = false
		p.applyReply(now, s, r)
	}
}

func (p *placer) applyReply(now time.Time, s *orderState, r orderReply) {
	fields := []kwevent.Field{
		kwevent.F("endpoint", r.id), kwevent.F("from", r.target.From), kwevent.F("to", r.target.To), kwevent.F("result", r.result),
	}
	switch {
	case r.err != nil:
		s.retryAt = now.Add(orderRetryDelay)
		fields = append(fields, kwevent.F("error", r.err.Error()))
	case r.result == OrderBegun:
		s.orderCount++
	case r.state != nil:
		s.orderCount = r.state.OrderCount
		s.ordered = r.state.Busy || r.state.Layers == r.target
		fields = append(fields, kwevent.F("orders", r.state.OrderCount), kwevent.F("busy", r.state.Busy))
	}
	p.cfg.Events.Emit(kwevent.OrderAnswered, "", fields...)
}
