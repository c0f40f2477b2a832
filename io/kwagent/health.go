package kwagent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwclient"
	"knapweedproxy/io/kwguard"
)

// healthServer serves health checks and metrics to operators.
type healthServer struct {
	listener net.Listener
	server   *http.Server
	closed   chan struct{}
}

const (
	// healthTimeout bounds shutting the server down.
	healthTimeout = 5 * time.Second
	// maxMissedAnnouncements is how many announce intervals may pass without an answer from control while the agent
	// stays ready.
	maxMissedAnnouncements = 4
)

// openHealth listens on the address; requests are answered once serve is called.
func (r *Role) openHealth(address string) (*healthServer, error) {
	listener, err := kwguard.Listen(address)
	if err != nil {
		return nil, err
	}
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", r.onReady)
	router.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", "application/json")
		metrics.WriteJSONOnce(r.registry, c.Writer)
	})
	guard := kwguard.New(kwguard.PageConfig("health", kwclient.Capacity{}, nil))
	server := guard.Server(router)
	return &healthServer{listener: guard.Wrap(listener), server: server, closed: make(chan struct{})}, nil
}

// serve answers requests until close is called; it stays up while the agent drains.
func (h *healthServer) serve() error {
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-h.closed
		return nil
	}
	return err
}

func (h *healthServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	_ = h.server.Shutdown(ctx)
	close(h.closed)
}

// onReady reports ready if control has answered an announcement recently.
func (r *Role) onReady(c *gin.Context) {
	idle := time.Since(time.Unix(0, r.lastAnnounced.Load()))
	if idle > maxMissedAnnouncements*r.cfg.AnnounceInterval {
		c.String(http.StatusServiceUnavailable, "control has answered no announcement for %s\n", idle.Round(time.Millisecond))
		return
	}
	c.String(http.StatusOK, "ready\n")
}
