package kwagententry

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"

	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
)

// admission is a caller request that counts against its workspace's share until end is called.
type admission struct {
	request kwid.RequestID
	ctx     context.Context
	limit   time.Duration
	start   time.Time
	end     func()
}

// admit reads the caller's deadline, asks check whether it can be met, and takes a slot of the workspace.
func (r *Role) admit(c *gin.Context, request kwid.RequestID, usual time.Duration, check func(limit time.Duration) error) (*admission, error) {
	limit, err := timeout(c, usual)
	if err != nil {
		return nil, err
	}
	if check != nil {
		if err := check(limit); err != nil {
			return nil, err
		}
	}
	w := workspaceOf(c)
	release, err := r.limiter.Acquire(w.Name)
	if err != nil {
		return nil, err
	}
	a := &admission{request: request, limit: limit, start: time.Now()}
	ctx, cancel := context.WithTimeout(c.Request.Context(), limit)
	a.ctx = ctx
	a.end = func() {
		cancel()
		release(time.Since(a.start))
	}
	r.deps.Events.Emit(kwevent.RequestAdmitted, request, kwevent.F("workspace", w.Name))
	return a, nil
}
