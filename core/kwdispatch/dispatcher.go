package kwdispatch

import (
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// Config configures a Dispatcher.
type Config struct {
	// Entry is the entry's own ID.
	Entry kwid.NodeID
	// Zone is the availability zone of the entry.
	Zone kwid.AvailabilityZone
	// Queue configures the queue of requests that wait for a chain.
	Queue kwqueue.Config
	// Unavailable reports whether an endpoint is out of use, such as after failures.
	Unavailable func(now time.Time, id kwid.EndpointID) bool
	// Silent reports whether an endpoint is out of use only because it was silent; nil stands for none.
	Silent func(now time.Time, id kwid.EndpointID) bool
	// PauseOf returns for how long an endpoint wants no requests, which Unavailable includes; nil stands for none.
	PauseOf func(now time.Time, id kwid.EndpointID) time.Duration
	// Limits are the limits on the requests that first endpoints take; nil stands for none.
	Limits RequestLimits
	// ReturnReserve is the share of a server's KV cache that is kept at most for callers that were told to come back, and for large prompts,
	// while requests are rejected; 0 keeps none. Fewer callers are rejected twice with it, and more at once.
	ReturnReserve float64
	// Admission keeps back requests while more urgent ones are short of capacity; nil stands for none.
	Admission Admission
}

// Fleet is what an entry knows of the model servers of a service.
type Fleet struct {
	Engine *kwdeclaration.Engine
	// Servers are the live servers, without their load.
	Servers []kwchainsearch.Server
	// Incomplete means that the list of servers is still being gathered.
	Incomplete bool
}

// Request is a request for capacity on a chain.
type Request struct {
	Service kwid.ServiceName
	Size    kwchainsearch.RequestSize
	// FirstEventObjective is the desired time to the first event, EventGapObjective the longest desired gap between two events.
	FirstEventObjective, EventGapObjective time.Duration
	// WaitObjective is the longest time-to-first-event objective among the streams of the service whose priority is the request's own or a
	// less urgent one; 0 stands for FirstEventObjective.
	WaitObjective time.Duration
	// FirstEventTimeout is how long the first event may take before another chain is tried.
	FirstEventTimeout time.Duration
	// WaitingSince is when the request arrived at the entry.
	WaitingSince time.Time
	// Deadline is when the caller gives up; zero means that it does not.
	Deadline time.Time
	// Broken means that the caller has received part of a stream that has broken off.
	Broken bool
	// Exit is when the entry ends its requests in progress; zero means that it keeps running.
	Exit time.Time
	// AnswerTokens is the caller's estimate of the length of the answer.
	AnswerTokens int
	// MaxAnswerTokens bounds the length of the answer; zero means that the caller has set no bound.
	MaxAnswerTokens int
	// DeclaredPriority is the priority that the declaration gives the request; 0 is the highest.
	DeclaredPriority int
	// Returning means that the caller was rejected before and comes back.
	Returning bool
	// Admitted means that admission control has let the request in before.
	Admitted bool
	// behind means that the request goes behind all others of its entry.
	behind bool
	// Workspace is the caller's workspace, empty if it has none.
	Workspace kwid.WorkspaceName
	// Excluded holds the endpoints that have failed or refused the request.
	Excluded map[kwid.EndpointID]bool
	// Unreached holds the endpoints that have opened no connection for the request in time, which count as silent.
	Unreached map[kwid.EndpointID]bool
}

func (r Request) urgency(now time.Time) kwqueue.Urgency {
	return kwqueue.UrgencyOf(now, r.WaitingSince, r.FirstEventObjective, r.Broken)
}

// waitObjective returns the objective that bounds the wait in the queue. It answers classes of different objectives: a more urgent request
// may wait as long as a less urgent one, which would be served in its place otherwise.
func (r Request) waitObjective(now time.Time) time.Duration {
	return r.urgency(now).WaitObjective(max(r.FirstEventObjective, r.WaitObjective))
}

// Decision is what becomes of a request.
type Decision struct {
	// Granted means that capacity is reserved on Chain until Release.
	Granted bool
	Chain   kwchainsearch.Chain
	// Waiter is set if the request waits: until it is the head of the queue and something has changed, or its deadline.
	Waiter *kwqueue.Waiter
	// RetryAfter is when a rejected caller should come back. It is set if the request is neither granted nor waits.
	RetryAfter time.Duration
	// Paused means that the request is rejected since every chain passes through an endpoint that wants no requests.
	Paused bool
	// Limited means that the request is rejected since every first endpoint is at the limit that it has named.
	Limited bool
	// Recheck is when a waiting request at the head of the queue is to be decided on again although nothing has changed, 0 if never.
	Recheck time.Duration
	// Displaced means that the request is rejected since more urgent ones have taken its turn.
	Displaced bool
	// Shed holds the requests that wait no longer since this one has joined the queue; each is to be decided on again at once.
	Shed []*kwqueue.Waiter
	// EndsLate means that the request is rejected since no chain would end its answer before the entry exits.
	EndsLate bool
	// Admission is the verdict of admission control on an arriving request.
	Admission kwadmission.Verdict
}

// Dispatcher holds what the decisions of one entry depend on. It is not safe for concurrent use; the caller's lock protects it.
type Dispatcher struct {
	cfg   Config
	loads *Loads
	queue *kwqueue.Queue
	// latency estimates the time to the first event, by the first endpoint of a chain.
	latency map[kwid.EndpointID]*kwqueue.LatencyEstimator
	// forecasts tell how long answers take, by service.
	forecasts map[kwid.ServiceName]*Forecast
	// returns are the callers that come back, by service.
	returns map[kwid.ServiceName]*returns
	// admitted holds the classes of the requests that wait under admission control.
	admitted map[*kwqueue.Waiter]admissionClass
	// wantedAt is when recordWant last looked.
	wantedAt time.Time
}

// New returns a Dispatcher without load.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, loads: NewLoads(cfg.Entry), queue: kwqueue.NewQueue(cfg.Queue),
		latency:   make(map[kwid.EndpointID]*kwqueue.LatencyEstimator),
		forecasts: make(map[kwid.ServiceName]*Forecast),
		returns:   make(map[kwid.ServiceName]*returns),
		admitted:  make(map[*kwqueue.Waiter]admissionClass),
	}
}

// Loads returns the loads that the dispatcher goes by.
func (d *Dispatcher) Loads() *Loads { return d.loads }

// Retain forgets the endpoints that are no longer known.
func (d *Dispatcher) Retain(known func(kwid.EndpointID) bool) {
	maps.DeleteFunc(d.latency, func(id kwid.EndpointID, _ *kwqueue.LatencyEstimator) bool { return !known(id) })
}

// RetainServices forgets the services that are no longer known.
func (d *Dispatcher) RetainServices(known func(kwid.ServiceName) bool) {
	maps.DeleteFunc(d.forecasts, func(name kwid.ServiceName, _ *Forecast) bool { return !known(name) })
	maps.DeleteFunc(d.returns, func(name kwid.ServiceName, _ *returns) bool { return !known(name) })
}

// dispatch is Dispatch without admission control. A request is granted the best chain that has room and can be expected to send its first
// event in time, so that requests wait here, where the most urgent goes first, and not inside the engines. Under a load that all chains
// together cannot serve, a request waits only if it can expect its turn before its wait limit; any other is rejected at once, unless some
// chain has room although its answer will be late. A broken stream passes the queue, since its caller's pause has begun.
func (d *Dispatcher) dispatch(now time.Time, fleet Fleet, r Request) Decision {
	if d.queue.Len() == 0 || r.Broken {
		if chain, ok := d.reserve(now, fleet, r, false); ok {
			return Decision{Granted: true, Chain: chain}
		}
	}
	if pause := d.pauseOfAll(now, fleet, r); pause > 0 {
		return Decision{RetryAfter: pause, Paused: true}
	}
	if d.endsLate(now, fleet, r) {
		return Decision{EndsLate: true}
	}
	left := time.Duration(unlimited)
	if !r.Deadline.IsZero() {
		left = r.Deadline.Sub(now)
	}
	wait, onlyLimits := d.limitWait(now, fleet, r, d.queue.Len())
	if onlyLimits && !r.Broken && wait > d.queue.MaxWait(r.waitObjective(now), left) {
		return d.rejectLimited(wait)
	}
	place := kwqueue.Place{Declared: r.queuePriority(), Urgency: r.urgency(now), Workspace: r.Workspace, Returning: r.Returning}
	waiter, retryAfter := d.queue.Push(now, place, r.waitObjective(now), left)
	if waiter != nil {
		return Decision{Waiter: waiter, Recheck: d.recheck(now, fleet, waiter), Shed: d.queue.ShedTail(now, waiter)}
	}
	if chain, ok := d.reserve(now, fleet, r, true); ok {
		return Decision{Granted: true, Chain: chain}
	}
	if onlyLimits {
		return d.rejectLimited(max(wait, retryAfter))
	}
	return Decision{RetryAfter: d.Promise(now, r)}
}

// unlimited stands for the time left of a request without a deadline.
const unlimited = time.Hour

// retry is Retry without counts of admission control.
func (d *Dispatcher) retry(now time.Time, fleet Fleet, r Request, waiter *kwqueue.Waiter) Decision {
	if retryAfter, shed := waiter.Shed(); shed {
		d.recordPromise(now, r, retryAfter)
		return Decision{RetryAfter: retryAfter, Displaced: true}
	}
	ended, head := !now.Before(waiter.Deadline()), d.queue.Head() == waiter
	if ended || head {
		if chain, ok := d.reserve(now, fleet, r, ended); ok {
			d.Withdraw(waiter)
			return Decision{Granted: true, Chain: chain}
		}
	}
	if pause := d.pauseOfAll(now, fleet, r); pause > 0 {
		d.Withdraw(waiter)
		return Decision{RetryAfter: pause, Paused: true}
	}
	if d.endsLate(now, fleet, r) {
		d.Withdraw(waiter)
		return Decision{EndsLate: true}
	}
	if ended || head && !r.Broken {
		// The limits may have fallen since the request began to wait.
		if wait, onlyLimits := d.limitWait(now, fleet, r, 0); onlyLimits && now.Add(wait).After(waiter.Deadline()) {
			d.Withdraw(waiter)
			return d.rejectLimited(wait)
		}
	}
	if ended {
		d.Withdraw(waiter)
		return Decision{RetryAfter: d.Promise(now, r)}
	}
	return Decision{Waiter: waiter, Recheck: d.recheck(now, fleet, waiter)}
}

// Withdraw removes a request that no longer waits from the queue.
func (d *Dispatcher) Withdraw(waiter *kwqueue.Waiter) {
	d.queue.Remove(waiter)
	d.abandonWait(waiter)
}

// Next returns the request that is to be woken when something has changed, or nil if none waits.
func (d *Dispatcher) Next() *kwqueue.Waiter { return d.queue.Head() }

// Waiting returns how many requests wait.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// Release frees the capacity that a request has reserved on a chain.
func (d *Dispatcher) Release(now time.Time, chain kwchainsearch.Chain, tokens float64) {
	d.loads.Release(chain, tokens)
	d.queue.RecordDeparture(now)
}

// ReleaseUnsent frees the capacity and the turn of a request that was not sent to its chain.
func (d *Dispatcher) ReleaseUnsent(now time.Time, chain kwchainsearch.Chain, tokens float64) {
	d.Release(now, chain, tokens)
	if d.cfg.Limits != nil {
		d.cfg.Limits.Return(now, chain.First().Endpoint)
	}
}

// BeginFirstEventWait records that a request waits for its first event from a first endpoint.
func (d *Dispatcher) BeginFirstEventWait(now time.Time, id kwid.EndpointID) {
	d.latencyOf(id).Begin(now)
}

// EndFirstEventWait records that a request no longer waits for its first event, and whether it received one.
func (d *Dispatcher) EndFirstEventWait(now time.Time, id kwid.EndpointID, began time.Time, received bool) {
	d.latencyOf(id).End(now, began, received)
	if received {
		d.queue.RecordServed(now)
	}
}

const (
	// patienceFactor is how many times its expected time a first event may take.
	patienceFactor = 2
	// maxPatienceFactor bounds the time to the first event, in latency objectives: callers leave after four.
	maxPatienceFactor = 3.6
)

// FirstEventPatience returns how long the first event of a request on a granted chain may take before another chain is tried: the
// first-event timeout, or longer if the chain is slow for all requests. It answers servers that turn slow or an overload inside
// the engines: a request that is cut there has used their time in vain, and finds other chains as slow.
func (d *Dispatcher) FirstEventPatience(now time.Time, chain kwchainsearch.Chain, r Request) time.Duration {
	expected := d.ExpectedFirstEvent(now, chain)
	longest := time.Duration(maxPatienceFactor * float64(r.FirstEventObjective))
	return max(r.FirstEventTimeout, min(patienceFactor*expected, longest))
}

// ExpectedFirstEvent returns how long the first event of a request on a chain is expected to take.
func (d *Dispatcher) ExpectedFirstEvent(now time.Time, chain kwchainsearch.Chain) time.Duration {
	return d.latencyOf(chain.First().Endpoint).Estimate(now, chain.PrefillTime+chain.TokenTime)
}

func (d *Dispatcher) latencyOf(id kwid.EndpointID) *kwqueue.LatencyEstimator {
	l, ok := d.latency[id]
	if !ok {
		l = kwqueue.NewLatencyEstimator(kwqueue.DefaultLatencyConfig())
		d.latency[id] = l
	}
	return l
}

// reserve reserves room on the best chain. A chain whose first event would come too late counts as full. If allowLate is set, or
// if the request is late or broken already, a late answer is better than none, and only the first-event timeout bounds it.
func (d *Dispatcher) reserve(now time.Time, fleet Fleet, r Request, allowLate bool) (kwchainsearch.Chain, bool) {
	accept := d.acceptChain(now, r)
	d.recordWant(now, fleet, r, allowLate, accept)
	chain, ok := d.choose(now, fleet, r, allowLate, d.excludedFor(now, r), accept)
	if !ok {
		chain, ok = d.chooseSilent(now, fleet, r, allowLate, accept)
	}
	if ok {
		d.grant(now, chain, r)
	} else {
		d.wantAll(now, fleet, r)
	}
	return chain, ok
}

// grant reserves capacity on a chain and uses a turn of its first endpoint.
func (d *Dispatcher) grant(now time.Time, chain kwchainsearch.Chain, r Request) {
	d.loads.Reserve(chain, r.Size.TotalTokens)
	if d.cfg.Limits != nil {
		d.cfg.Limits.Take(now, chain.First().Endpoint)
	}
}

// excludedFor returns which endpoints a request must not use.
func (d *Dispatcher) excludedFor(now time.Time, r Request) func(kwid.EndpointID) bool {
	return func(id kwid.EndpointID) bool { return r.Excluded[id] || r.Unreached[id] || d.cfg.Unavailable(now, id) }
}

// choose returns the best chain that has room, without the excluded endpoints, and that accept, if it is set, allows.
func (d *Dispatcher) choose(
	now time.Time, fleet Fleet, r Request, allowLate bool, excluded func(kwid.EndpointID) bool, accept func(kwchainsearch.Chain) bool,
) (kwchainsearch.Chain, bool) {
	servers := d.loadedServers(now, fleet, r)
	d.markLimited(now, servers)
	return d.chooseAmong(now, servers, fleet, r, allowLate, excluded, accept)
}

// loadedServers returns the servers of a fleet with their load.
func (d *Dispatcher) loadedServers(now time.Time, fleet Fleet, r Request) []kwchainsearch.Server {
	servers := slices.Clone(fleet.Servers)
	withheld := d.withholding(now, r)
	for i := range servers {
		load := d.loads.Of(now, servers[i].ID)
		servers[i].Used, servers[i].Running = load.Used, load.Running
		size := kwchainsearch.LayerTokens(r.Size.TotalTokens * float64(servers[i].Layers.Len()))
		servers[i].Withheld = withheld(&servers[i], size)
	}
	return servers
}

// chooseAmong is choose for servers whose load is known.
func (d *Dispatcher) chooseAmong(
	now time.Time, servers []kwchainsearch.Server, fleet Fleet, r Request, allowLate bool, excluded func(kwid.EndpointID) bool,
	accept func(kwchainsearch.Chain) bool,
) (kwchainsearch.Chain, bool) {
	limit := r.FirstEventObjective
	if allowLate || r.urgency(now) != kwqueue.OnTime {
		limit = r.FirstEventTimeout
	}
	return kwchainsearch.Choose(fleet.Engine, servers, excluded, kwchainsearch.Criteria{
		Size:                r.Size,
		Home:                d.cfg.Zone,
		FirstEventObjective: r.FirstEventObjective,
		EventGapObjective:   r.EventGapObjective,
		Incomplete:          fleet.Incomplete,
		MaxFirstEvent:       limit,
		EstimateFirstEvent: func(first kwid.EndpointID, idle time.Duration) time.Duration {
			return d.latencyOf(first).Estimate(now, idle)
		},
		Accept: accept,
	})
}
