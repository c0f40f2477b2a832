package kwdirectentry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwclient"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// Config holds the settings of an entry.
type Config struct {
	Node kwid.NodeID
	Zone kwid.AvailabilityZone
	// Listen is the address for callers, ReadyListen the one for readiness checks.
	Listen, ReadyListen string
	// ReadyPath is the path of the readiness check by which a load balancer finds the entries that accept connections.
	ReadyPath string
	// ControlAddresses are the initial addresses of the control processes; each view brings the current ones.
	ControlAddresses []string
	// ViewLease is how long a view stays valid, counted from when the watch that confirmed it was sent.
	ViewLease time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// RetryBudget bounds the retries of the whole fleet.
	RetryBudget kwretry.SharedBudgetsConfig
	// Queue configures the queue of requests that wait for a chain.
	Queue kwqueue.Config
	// Ejector configures the outlier ejection of endpoints.
	Ejector kwretry.EjectorConfig
	// ReturnReserve is the share of each model server that is kept at most for callers that come back after a rejection.
	ReturnReserve float64
	// HedgeShare limits hedged requests to a share of the requests of each service while the declaration names no limit; 0 hedges none.
	HedgeShare float64
	// Capacity is what the process has for its clients' connections and heads.
	Capacity kwclient.Capacity
}

const (
	// watchMaxWait is how long the leader may hold a watch while nothing changes; it bounds the age of the other entries' loads.
	watchMaxWait = 300 * time.Millisecond
	// watchTimeout bounds a watch beyond watchMaxWait.
	watchTimeout = 700 * time.Millisecond
	// idleSweepInterval is the time between two sweeps of idle upstream connections.
	idleSweepInterval = time.Second
	// lameDuckTime is how long new connections are still accepted after a shutdown began: the load balancer needs two
	// failed checks, a second apart, to remove the entry.
	lameDuckTime = 2500 * time.Millisecond
	// maxLameDuckShare bounds lameDuckTime as a share of DrainTimeout.
	maxLameDuckShare = 0.5
	// drainMarginShare is the share of DrainTimeout in which requests that are still in progress are ended, answered and logged, and
	// maxDrainMargin bounds that part.
	drainMarginShare = 0.05
	maxDrainMargin   = 50 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time of a request that this entry has no time for: another entry can serve it at once.
	stoppingRetryAfter = 10 * time.Millisecond
	// buffersFullRetryAfter is the Retry-After time of a request that the entry has no memory for: what is without end is broken off soon.
	buffersFullRetryAfter = time.Second
	// maxResponseBytes bounds a response that is buffered in memory.
	maxResponseBytes = 8 << 20
	// defaultMaxBodyBytes bounds a request body if the declaration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// headerTimeout bounds the time in which a caller sends its request header if the declaration sets no limit, and that until a new
	// connection brings one.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle caller connections, unless the declaration lets callers reuse them for longer.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a caller's request header if the declaration sets no limit.
	maxHeaderBytes = 64 << 10
	// deliveryTimeout is how long after the deadline of its request a caller may leave an answer unread.
	deliveryTimeout = 2 * time.Second
	// viewWaitTimeout bounds how long a request waits for a valid view: callers abandon a stream after two seconds
	// without an event.
	viewWaitTimeout = 1500 * time.Millisecond
	// viewWaitShare is the share of the caller's timeout that the wait for a view may use, so that time is left for the
	// request itself.
	viewWaitShare = 0.4
	// viewLossGrace is how long after the loss of the view a new one is still expected: twice the longest usual
	// election.
	viewLossGrace = 3 * time.Second
	// noViewRetryAfter is the Retry-After time that callers get while there is no valid view: a leader is elected by
	// then.
	noViewRetryAfter = time.Second
	// firstEventTimeoutFactor is how many latency objectives may pass before the first event until another chain is
	// tried.
	firstEventTimeoutFactor = 2
	// eventGapTimeoutFactor is how many event gap objectives may pass between two events until another chain is tried.
	eventGapTimeoutFactor = 4
	// stallQueryGapFactor is how many event gap objectives may pass without an event until the first endpoint of the
	// chain is asked which endpoint stalls it.
	stallQueryGapFactor = 1.5
	// minStallQueryWait is the lower bound of the wait for a stall query: a pass of a loaded engine takes 100 ms.
	minStallQueryWait = 250 * time.Millisecond
	// probeGapFactor is how many usual event intervals of a chain may pass without an event until its endpoints are
	// probed.
	probeGapFactor = 3
	// minProbeWait is the lower bound of the wait for a probe. It is half the gap that callers usually tolerate, so
	// that a stream that lost a stage can resume before its caller notices, and longer than the prefill of other
	// prompts between two events.
	minProbeWait = 100 * time.Millisecond
	// faultCheckInterval is the minimum time between two stall queries or two probes of an endpoint, whose stall report
	// lags by a few hundred milliseconds.
	faultCheckInterval = 300 * time.Millisecond
	// faultReportTimeout bounds the report to the leader that an endpoint refuses connections or is unresponsive.
	faultReportTimeout = time.Second
	// minEventTimeout is the lower bound of the timeouts for events, for routes that declare no objective.
	minEventTimeout = 500 * time.Millisecond
	// minHedgeDelay is the least time between two looks whether an attempt may be added beside a silent one.
	minHedgeDelay = 50 * time.Millisecond
	// hedgeRecheck is the time between two looks whether a request whose hedge was held back may be hedged now: a few looks within the
	// second for which a hedge is saved.
	hedgeRecheck = 50 * time.Millisecond
	// stallQueryTimeout bounds a stall query.
	stallQueryTimeout = 250 * time.Millisecond
	// extraAttempts is how many attempts beyond a route's MaxAttempts may be refused without having run before the
	// request is rejected.
	extraAttempts = 1
)

// Decoder decodes and validates a declaration in the platform's encoding.
type Decoder interface {
	Decode(content []byte) (*kwdeclaration.Declaration, error)
}

// StalledRequest is a request that makes no progress because an endpoint of its chain makes none.
type StalledRequest struct {
	Request kwid.RequestID
	// EndpointAddress is the address of the endpoint that stalls the request.
	EndpointAddress string
}

// StallReport is what the first endpoint of a chain says of its requests.
type StallReport struct {
	Stalled []StalledRequest
	// Leaving means that the endpoint drains before a planned stop.
	Leaving bool
}

// StallReader asks the first endpoint of a chain which of its requests are stalled, and by which endpoints. Another endpoint that has got its
// address since refuses the call. Leaving may be set beside an error.
type StallReader interface {
	StalledRequests(ctx context.Context, endpoint kwid.EndpointID, address string) (StallReport, error)
}

// Deps holds the dependencies that the process provides.
type Deps struct {
	Events  *kwevent.Emitter
	Metrics metrics.Registry
	Decoder Decoder
	Dialect kwupstream.Dialect
	Stalls  StallReader
	// Buffers is the memory for requests and answers; nil means one of the default size.
	Buffers *kwbuffer.Budget
	// Now reads the clock that leases are measured by.
	Now func() time.Time
}
