package kwagententry

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"

	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
)

// admission is a caller request that counts against its workspace's limit until end is called.
type admission struct {
	request kwid.RequestID
	ctx     context.Context
	timeout time.Duration
	start   time.Time
	end     func()
}

// admit reads the caller's timeout, lets checkTimeout reject one that is too short, and acquires an in-flight slot of
// the workspace.
func (r *Role) admit(c *gin.Context, request kwid.RequestID, declaredTimeout time.Duration, checkTimeout func(timeout time.Duration) error) (*admission, error) {
	timeout, err := requestTimeout(c, declaredTimeout)
	if err != nil {
		return nil, err
	}
	if checkTimeout != nil {
		if err := checkTimeout(timeout); err != nil {
			return nil, err
		}
	}
	workspace := workspaceOf(c)
	release, err := r.limiter.Acquire(workspace.Name)
	if err != nil {
		return nil, err
	}
	adm := &admission{request: request, timeout: timeout, start: time.Now()}
	ctx, cancel := context.WithTimeout(c.Request.Context(), timeout)
	adm.ctx = ctx
	adm.end = func() {
		cancel()
		release(time.Since(adm.start))
	}
	r.deps.Events.Emit(kwevent.RequestAdmitted, request, kwevent.F("workspace", workspace.Name))
	return adm, nil
}
