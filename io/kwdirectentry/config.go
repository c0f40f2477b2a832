package kwdirectentry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// Config holds the settings of a gate.
type Config struct {
	Node kwid.NodeID
	Zone kwid.AvailabilityZone
	// Listen is the address for callers, ReadyListen the one for readiness checks.
	Listen, ReadyListen string
	// ReadyPath is where the load balancer asks whether this entry takes new connections.
	ReadyPath string
	// ControlAddresses lists the addresses of control processes to begin with.
	ControlAddresses []string
	// ViewLease is how long a view is served by after control has confirmed it, counted from the question.
	ViewLease time.Duration
	// DrainTimeout is how long a graceful shutdown may take.
	DrainTimeout time.Duration
	// Retry bounds the retries of the whole fleet.
	Retry     kwretry.SharedBudgetsConfig
	Admission kwqueue.Config
	Ejection  kwretry.EjectorConfig
}

const (
	// watchHold is how long control may hold a watch without news; it bounds the age of the loads of others.
	watchHold = 300 * time.Millisecond
	// watchTimeout bounds one watch beyond its hold.
	watchTimeout = 700 * time.Millisecond
	// sweepPeriod is the time between two sweeps of idle connections.
	sweepPeriod = time.Second
	// noticeTime is how long new connections are still taken after a shutdown began: the load balancer needs two
	// failed checks, a second apart, to turn elsewhere.
	noticeTime = 2500 * time.Millisecond
	// drainMargin is kept of DrainTime for the exit of the process.
	drainMargin = 600 * time.Millisecond
	// maxAnswer bounds a plain answer that is held in memory, in bytes.
	maxAnswer = 8 << 20
	// usualBody bounds a request body while nothing is declared, in bytes.
	usualBody = 4 << 20
	// headerTimeout bounds the time in which a caller sends a header.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers reuse a connection for.
	idleTimeout = 60 * time.Second
	// maxHeader bounds a caller's header in bytes.
	maxHeader = 64 << 10
	// viewPatience is how long a request waits for a view: callers give a stream up after two seconds without an event.
	viewPatience = 1500 * time.Millisecond
	// viewPatienceShare of the caller's deadline bounds the wait for a view, so that time is left for the request.
	viewPatienceShare = 0.4
	// viewExpected is how long after its loss a view can be expected back: twice the longest usual election.
	viewExpected = 3 * time.Second
	// comeBack is when callers are told to return while this entry has no view: a leader is elected by then.
	comeBack = time.Second
	// brokenObjectives is how many objectives a stream that has broken off may wait for another chain: callers leave after
	// four without an event, and one has passed.
	brokenObjectives = 3
	// lateObjectives is how many objectives more a request may wait that has missed its own.
	lateObjectives = 2
	// firstEventObjectives is how many objectives may pass before the first event until another chain is tried.
	firstEventObjectives = 2
	// pauseObjectives is how many times the pause objective may pass between events until another chain is tried.
	pauseObjectives = 4
	// suspectPauses is how many times the pause objective may pass without an event until the chain's first endpoint is
	// asked who holds it up.
	suspectPauses = 1.5
	// leastSuspect bounds that time from below: a pass of a loaded engine takes a tenth of a second.
	leastSuspect = 250 * time.Millisecond
	// probePauses is how many usual pauses of a chain may pass without an event until its endpoints are probed.
	probePauses = 3
	// leastProbe bounds that time from below: half the pause that callers usually bear, so that a stream whose stage was lost
	// can go on elsewhere before its caller notices, and more than prompts that are read in between take.
	leastProbe = 100 * time.Millisecond
	// askPeriod bounds how often an endpoint is asked or probed; its report lags by some hundred milliseconds.
	askPeriod = 300 * time.Millisecond
	// reportTimeout bounds the report of a refusal.
	reportTimeout = time.Second
	// leastPause bounds the wait between events from below where a route declares no pause.
	leastPause = 500 * time.Millisecond
	// plainShare is the share of the time left that an idempotent try may take while others may follow.
	plainShare = 0.45
	// blameTimeout bounds the question who holds up a chain.
	blameTimeout = 250 * time.Millisecond
	// extraTries is how many endpoints beyond a route's attempts may refuse a request unrun before it is rejected.
	extraTries = 1
)

// Decoder reads a declaration in the adapter's encoding and checks it.
type Decoder interface {
	Decode(content []byte) (*kwdeclaration.Declaration, error)
}

// StalledRequest is a request that waits for an endpoint of its chain.
type StalledRequest struct {
	Request kwid.RequestID
	// EndpointAddress is where the endpoint at fault listens.
	EndpointAddress string
}

// StallReader asks the first endpoint of a chain which of its requests are held up, and by whom.
type StallReader interface {
	StalledRequests(ctx context.Context, address string) ([]StalledRequest, error)
}

// Deps holds what the process hands down.
type Deps struct {
	Events  *kwevent.Emitter
	Metrics metrics.Registry
	Decoder Decoder
	Dialect kwupstream.Dialect
	Stalls  StallReader
	// Now is the clock of leases.
	Now func() time.Time
}
