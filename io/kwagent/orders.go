package kwagent

import (
	"context"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwengine"
	"knapweedproxy/io/kwevent"
)

// onOrder forwards an order to hold other layers to the engine, unless its fencing token is older than the latest known
// here.
func (r *Role) onOrder(ctx context.Context, first frame, s *stream) error {
	var req kwagentproto.Order
	if err := first.Decode(&req); err != nil {
		return err
	}
	if err := r.checkFence(req); err != nil {
		r.deps.Events.Emit(kwevent.OrderRefused, "", kwevent.F("fence", uint64(req.FencingToken)))
		return err
	}
	assignment := kwengine.AssignLayersRequest{FencingToken: req.FencingToken, Model: req.Model, Layers: req.Layers}
	if err := r.engine.AssignLayers(ctx, assignment); err != nil {
		return err
	}
	r.deps.Events.Emit(kwevent.OrderRun, "", kwevent.F("fence", uint64(req.FencingToken)))
	return s.Send(kwagentproto.KindReply, kwagentproto.OrderReply{FencingToken: req.FencingToken})
}

// checkFence rejects all orders until control has sent the current fencing token, which an agent does not keep over a
// restart.
func (r *Role) checkFence(req kwagentproto.Order) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fencingToken == 0 {
		return kwcode.New(kwcode.FenceUnknown, "the agent has not received a fencing token from control yet")
	}
	if req.FencingToken < r.fencingToken {
		return kwcode.New(kwcode.StaleFence, "the order has fencing token %d, the latest is %d", req.FencingToken, r.fencingToken)
	}
	r.fencingToken = req.FencingToken
	return nil
}
