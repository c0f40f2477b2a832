package kwagent

import (
	"context"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwengine"
	"knapweedproxy/io/kwevent"
)

// onOrder passes an order on to the engine if its fencing number is not below the largest one known here.
func (r *Role) onOrder(ctx context.Context, first frame, s *stream) error {
	var req kwagentproto.Order
	if err := first.Decode(&req); err != nil {
		return err
	}
	if err := r.checkFence(req); err != nil {
		r.deps.Events.Emit(kwevent.OrderRefused, "", kwevent.F("fence", uint64(req.Fence)))
		return err
	}
	order := kwengine.OrderRequest{Fence: req.Fence, Model: req.Model, Layers: req.Layers}
	if err := r.engine.Order(ctx, order); err != nil {
		return err
	}
	r.deps.Events.Emit(kwevent.OrderRun, "", kwevent.F("fence", uint64(req.Fence)))
	return s.Send(kwagentproto.KindReply, kwagentproto.OrderReply{Fence: req.Fence})
}

// checkFence refuses every order until the present number is known, since a restart forgets it.
func (r *Role) checkFence(req kwagentproto.Order) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence == 0 {
		return kwcode.New(kwcode.FenceUnknown, "control has not told the present fencing number yet")
	}
	if req.Fence < r.fence {
		return kwcode.New(kwcode.StaleFence, "order %d, present %d", req.Fence, r.fence)
	}
	r.fence = req.Fence
	return nil
}
