package kwdirectentry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwdirectproto"
)

// chooser picks endpoints and chains by load, and lets requests wait for room; it is safe for concurrent use.
type chooser struct {
	cfg     Config
	mu      sync.Mutex
	own     map[kwid.EndpointID]kwdirectproto.Load
	others  map[kwid.EndpointID]kwdirectproto.Load
	running map[kwid.EndpointID]int
	busy    map[kwid.EndpointID]int
	byPlace map[string]kwid.EndpointID
	eject   *kwretry.Ejector
	queue   *kwqueue.Queue
	wake    map[*kwqueue.Waiter]chan struct{}
	// asked and probed bound how often an endpoint is asked who holds up its chains, and probed.
	asked, probed *pacer
	// latency estimates the wait for the first event by the first endpoint of a chain.
	latency map[kwid.EndpointID]*kwqueue.LatencyEstimator
	// first is when the first view came, peers how many entries there are for each availability zone.
	first time.Time
	peers int
}

func newChooser(cfg Config) *chooser {
	return &chooser{
		cfg:     cfg,
		own:     make(map[kwid.EndpointID]kwdirectproto.Load),
		others:  make(map[kwid.EndpointID]kwdirectproto.Load),
		running: make(map[kwid.EndpointID]int),
		busy:    make(map[kwid.EndpointID]int),
		eject:   kwretry.NewEjector(cfg.Ejection),
		queue:   kwqueue.NewQueue(cfg.Admission),
		wake:    make(map[*kwqueue.Waiter]chan struct{}),
		asked:   newPacer(askPeriod),
		probed:  newPacer(askPeriod),
		latency: make(map[kwid.EndpointID]*kwqueue.LatencyEstimator),
	}
}

// update takes the endpoints of a new view and the loads of other entries.
func (c *chooser) update(v *view, loads []kwdirectproto.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first.IsZero() {
		c.first = time.Now()
	}
	c.peers = peersOf(v)
	c.eject.SetEndpointCount(len(v.endpoints))
	c.byPlace = make(map[string]kwid.EndpointID, len(v.endpoints))
	for id, row := range v.endpoints {
		c.byPlace[row.Announcement.Address] = id
	}
	clear(c.others)
	known := func(id kwid.EndpointID) bool { _, ok := v.endpoints[id]; return ok }
	maps.DeleteFunc(c.latency, func(id kwid.EndpointID, _ *kwqueue.LatencyEstimator) bool { return !known(id) })
	c.asked.keep(known)
	c.probed.keep(known)
	for _, l := range loads {
		c.others[l.Endpoint] = l
	}
	c.next()
}

// peersOf returns how many entries share the endpoints of an availability zone.
func peersOf(v *view) int {
	zones := make(map[kwid.AvailabilityZone]bool)
	for _, row := range v.endpoints {
		zones[row.Announcement.Zone] = true
	}
	return max(1, (v.entries+len(zones)-1)/max(1, len(zones)))
}

// rushTime is how long after a start an entry takes the other entries of its zone to be as busy as itself: all may have
// started together, with the requests of the whole outage at hand, and their reports take a while.
const rushTime = time.Second

// loadOf returns what an endpoint has on it; the caller holds the lock.
func (c *chooser) loadOf(now time.Time, id kwid.EndpointID) kwdirectproto.Load {
	own, others := c.own[id], c.others[id]
	if now.Sub(c.first) < rushTime {
		others.Used = max(others.Used, own.Used*kwchainsearch.LayerTokens(c.peers-1))
		others.Running = max(others.Running, own.Running*(c.peers-1))
	}
	return kwdirectproto.Load{Endpoint: id, Used: own.Used + others.Used, Running: own.Running + others.Running}
}

// report returns what this entry's requests take up.
func (c *chooser) report() []kwdirectproto.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []kwdirectproto.Load
	for _, id := range slices.Sorted(maps.Keys(c.own)) {
		out = append(out, c.own[id])
	}
	return out
}

// reserve takes up the KV room and the slot of a chain, or gives them back; the caller holds the lock.
func (c *chooser) reserve(chain kwchainsearch.Chain, tokens float64, sign float64) {
	for i, p := range chain.Stages {
		l := c.own[p.Endpoint]
		l.Endpoint = p.Endpoint
		l.Used += kwchainsearch.LayerTokens(sign * tokens * float64(p.Layers.Len()))
		if i == 0 {
			l.Running += int(sign)
		}
		if l.Used < 1 && l.Running == 0 {
			delete(c.own, p.Endpoint)
			continue
		}
		c.own[p.Endpoint] = l
	}
}

// release frees the room of a chain and lets the next request in.
func (c *chooser) release(chain kwchainsearch.Chain, tokens float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserve(chain, tokens, -1)
	c.queue.RecordDeparture(time.Now())
	c.next()
}

// next wakes the request whose turn it is; the caller holds the lock.
func (c *chooser) next() {
	if t := c.queue.Head(); t != nil {
		select {
		case c.wake[t] <- struct{}{}:
		default:
		}
	}
}

// excluded lists endpoints that a request must not meet again.
type excluded map[kwid.EndpointID]bool

// search returns the best chain with room for a request; the caller holds the lock.
func (c *chooser) search(v *view, w wish, limit time.Duration) (kwchainsearch.Chain, bool) {
	now := time.Now()
	r := w.r
	loaded := slices.Clone(v.chained[r.service])
	for i := range loaded {
		load := c.loadOf(now, loaded[i].ID)
		loaded[i].Used, loaded[i].Running = load.Used, load.Running
	}
	isOut := func(id kwid.EndpointID) bool { return w.out[id] || c.eject.Ejected(now, id) }
	return kwchainsearch.Choose(v.index.Service(r.service).Engine, loaded, isOut, kwchainsearch.Criteria{
		Size:                w.need,
		Home:                c.cfg.Zone,
		FirstEventObjective: r.route.LatencyObjective,
		PauseObjective:      r.route.EventGapObjective,
		Incomplete:          v.partial,
		MaxFirstEvent:       limit,
		EstimateFirstEvent: func(first kwid.EndpointID, idle time.Duration) time.Duration {
			return c.latencyOf(first).Estimate(now, idle)
		},
	})
}

// latencyOf returns the estimate for a first endpoint; the caller holds the lock.
func (c *chooser) latencyOf(id kwid.EndpointID) *kwqueue.LatencyEstimator {
	l, ok := c.latency[id]
	if !ok {
		l = kwqueue.NewLatencyEstimator(kwqueue.DefaultLatencyConfig())
		c.latency[id] = l
	}
	return l
}

// begin notes a request that waits for its first event.
func (c *chooser) begin(id kwid.EndpointID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencyOf(id).Begin(now)
}

// ended notes that a request waits no longer for its first event.
func (c *chooser) ended(id kwid.EndpointID, began time.Time, got bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencyOf(id).End(time.Now(), began, got)
	c.next()
}

// homeBonus is how many requests more an endpoint in the own availability zone may have than one elsewhere.
const homeBonus = 2

// plain picks the endpoint of a plain service with the fewest requests.
func (c *chooser) plain(now time.Time, list []kwmembership.Announcement, out excluded) (kwmembership.Announcement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, found, least := kwmembership.Announcement{}, false, 0
	for pass := 0; pass < 2 && !found; pass++ {
		for _, a := range list {
			// The second pass takes an ejected endpoint over none.
			if out[a.ID] || pass == 0 && c.eject.Ejected(now, a.ID) {
				continue
			}
			load := 2*c.running[a.ID] + c.busy[a.ID]
			if a.Zone != c.cfg.Zone {
				load += homeBonus
			}
			if !found || load < least {
				best, found, least = a, true, load
			}
		}
	}
	if found {
		c.running[best.ID]++
	}
	return best, found
}

// done ends a plain request; busy is what the endpoint said of its load, -1 if it did not.
func (c *chooser) done(id kwid.EndpointID, busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[id]--; c.running[id] <= 0 {
		delete(c.running, id)
	}
	if busy > 0 {
		c.busy[id] = busy
	} else {
		delete(c.busy, id)
	}
}

// fail ejects an endpoint for a while.
func (c *chooser) fail(now time.Time, id kwid.EndpointID) { c.eject.Fail(now, id) }

// failAt ejects the endpoint at an address.
func (c *chooser) failAt(now time.Time, address string) (kwid.EndpointID, bool) {
	c.mu.Lock()
	id, ok := c.byPlace[address]
	c.mu.Unlock()
	if ok {
		c.eject.Fail(now, id)
	}
	return id, ok
}

// succeed clears the history of a chain's endpoints.
func (c *chooser) succeed(chain kwchainsearch.Chain) {
	for _, p := range chain.Stages {
		c.eject.RecordSuccess(p.Endpoint)
	}
}
