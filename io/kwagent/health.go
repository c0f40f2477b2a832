package kwagent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcode"
)

// health serves an agent's state to operators.
type health struct {
	listener net.Listener
	server   *http.Server
	closed   chan struct{}
}

const (
	healthTimeout = 5 * time.Second
	// silentPeriods is how many announcement periods may fail before the agent is not ready.
	silentPeriods = 4
)

func (r *Role) openHealth(address string) (*health, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", r.onReady)
	g.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", "application/json")
		metrics.WriteJSONOnce(r.registry, c.Writer)
	})
	server := &http.Server{Handler: g, ReadHeaderTimeout: healthTimeout}
	return &health{listener: listener, server: server, closed: make(chan struct{})}, nil
}

// serve answers until close; it stays up while the agent drains.
func (h *health) serve() error {
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-h.closed
		return nil
	}
	return err
}

func (h *health) close() {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	_ = h.server.Shutdown(ctx)
	close(h.closed)
}

// onReady asserts that the announcement loop runs and that control answers it.
func (r *Role) onReady(c *gin.Context) {
	silent := time.Since(time.Unix(0, r.announced.Load()))
	if silent > silentPeriods*r.cfg.AnnounceInterval {
		c.String(http.StatusServiceUnavailable, "no announcement was answered for %s\n", silent.Round(time.Millisecond))
		return
	}
	c.String(http.StatusOK, "ready\n")
}
