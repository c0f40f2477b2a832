package kwquarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// crashPoint is when a crashing request ends its server.
type crashPoint int

const (
	crashBeforeAnswer crashPoint = iota
	crashAtHead
	crashAfterEvents
	crashAfterAnswer
	crashPoints
)

// requestSimulationConfig describes a fleet and its load.
type requestSimulationConfig struct {
	entries, servers int
	// crashingRates are the numbers of requests a second with each of the crashing digests.
	crashingRates []float64
	// crashAt is when a crashing request ends its server.
	crashAt crashPoint
	// soundBefore makes servers answer the crashing requests until requestFrom.
	soundBefore bool
	// sharedPart gives the crashing requests a part that no others have.
	sharedPart bool
	// crashingPartRate is the number of requests a second, all different, with a part that crashes servers.
	crashingPartRate float64
	// otherCrashes is the number of servers a second that crash for another reason; crashTogether servers crash at crashesFrom.
	otherCrashes  float64
	crashTogether int
	crashOver     time.Duration
	// cutOff is the number of entries that have no contact with control from cutOffFrom to cutOffTo.
	cutOff int
	// newLeaderAt is when another leader takes over, 0 for none.
	newLeaderAt time.Duration
	// attackRate is the number of requests a second with bodies of their own that are under way for long; attackCrashes is the
	// number of them a second that crash a server, once each.
	attackRate, attackCrashes float64
	// prompts makes the requests streams with parts.
	prompts bool
	// noSoundAge leaves the time of the last sound run out of the reports of crashes.
	noSoundAge bool
	seed       uint64
}

const (
	requestDuration = 19 * time.Second
	requestFrom     = 10 * time.Second
	cutOffFrom      = 8 * time.Second
	cutOffTo        = 16 * time.Second
	// contactTime is the time after the third crash from which on at most lateRequests requests may reach servers.
	contactTime  = 3 * time.Second
	lateRequests = 3
	// popularRequests is the number of requests that many callers send, and popularShare their share.
	popularRequests = 40
	popularShare    = 0.5
	// callerRetries is how often a caller sends a request again that failed, callerDelay after each.
	callerRetries = 3
	callerDelay   = 700 * time.Millisecond
	// noticeTime is the longest time in which entries learn of a crash without a request of theirs.
	noticeTime = 1500 * time.Millisecond
)

type fleetRequest struct {
	id       kwid.RequestID
	digest   kwid.RequestDigest
	parts    []kwid.PromptPartID
	entry    *fleetEntry
	server   *fleetServer
	crashing bool
	bad      int
	once     bool
	attempts int
	tries    int
	events   int
	waits    int
	life     time.Duration
}

type fleetServer struct {
	id      kwid.EndpointID
	started kwmembership.StartMillis
	up      bool
	running []*fleetRequest
}

func (s *fleetServer) process() kwmembership.Process {
	return kwmembership.Process{Endpoint: s.id, StartedMillis: s.started}
}

type fleetEntry struct {
	guard  *Guard
	cutOff bool
	leader int
}

// fleet is a simulated fleet whose servers crash under requests.
type fleet struct {
	cfg      requestSimulationConfig
	rng      *rand.Rand
	zipf     *rand.Zipf
	start    time.Time
	now      time.Time
	events   eventHeap
	pushed   int
	registry *Registry
	leader   int
	entries  []*fleetEntry
	servers  []*fleetServer
	requests int

	crashesOf [][]time.Time
	sendsOf   [][]fleetSend
	held      map[kwid.RequestDigest]time.Time
	heldFor   map[kwid.RequestDigest]time.Duration
	parts     map[kwid.PromptPartID]bool
	crashes   int
	refused   int
	innocents int
	names     map[kwid.RequestDigest]string
}

type fleetSend struct {
	at     time.Time
	cutOff bool
}

func crashingDigest(i int) kwid.RequestDigest {
	return DigestRequest("host", "/crash", "caller", []byte{byte(i)})
}

func newFleet(cfg requestSimulationConfig) *fleet {
	rng := rand.New(rand.NewPCG(cfg.seed, 77))
	f := &fleet{
		cfg: cfg, rng: rng, zipf: rand.NewZipf(rng, 1.1, 2, popularRequests-1), start: time.Unix(1_700_000_000, 0),
		registry:  NewRegistry(DefaultConfig()),
		crashesOf: make([][]time.Time, len(cfg.crashingRates)), sendsOf: make([][]fleetSend, len(cfg.crashingRates)),
		held: make(map[kwid.RequestDigest]time.Time), heldFor: make(map[kwid.RequestDigest]time.Duration),
		parts: make(map[kwid.PromptPartID]bool), names: make(map[kwid.RequestDigest]string),
	}
	f.now = f.start
	for i := range cfg.entries {
		e := &fleetEntry{guard: NewGuard(DefaultGuardConfig())}
		f.entries = append(f.entries, e)
		f.after(f.between(0, simulatedWatch), func() { f.watch(e) })
		if i < cfg.cutOff {
			f.after(cutOffFrom, func() { e.cutOff = true })
			f.after(cutOffTo, func() { e.cutOff = false })
		}
	}
	for i := range cfg.servers {
		f.servers = append(f.servers, &fleetServer{id: kwid.EndpointID(fmt.Sprint("server-", i)), up: true})
	}
	f.poisson(soundRatePerServer*2*float64(cfg.servers), 0, f.sendInnocent)
	for i, rate := range cfg.crashingRates {
		from := requestFrom
		if cfg.soundBefore {
			from = 0
		}
		f.poisson(rate, from, func() { f.sendCrashing(i) })
	}
	f.poisson(cfg.crashingPartRate, requestFrom, f.sendCrashingPart)
	f.poisson(cfg.otherCrashes, requestFrom, func() { f.crash(f.servers[f.rng.IntN(len(f.servers))]) })
	f.poisson(cfg.attackRate, 0, func() { f.sendAttack(false) })
	f.poisson(cfg.attackCrashes, requestFrom, func() { f.sendAttack(true) })
	f.after(requestFrom, func() {
		for _, server := range f.servers[:cfg.crashTogether] {
			f.after(f.between(0, cfg.crashOver+1), func() { f.crash(server) })
		}
	})
	if cfg.newLeaderAt > 0 {
		f.after(cfg.newLeaderAt, func() {
			f.leader++
			f.registry = NewRegistry(DefaultConfig())
		})
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.pushed++
	heap.Push(&f.events, &simulatedEvent{at: f.now.Sub(f.start) + d, number: f.pushed, run: run})
}

func (f *fleet) between(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Int64N(int64(to-from)))
}

func (f *fleet) callDelay() time.Duration {
	return f.between(time.Millisecond, 40*time.Millisecond)
}

// poisson runs something at random times with a rate.
func (f *fleet) poisson(rate float64, from time.Duration, run func()) {
	if rate == 0 {
		return
	}
	var next func()
	next = func() {
		run()
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(from+time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

func (f *fleet) run() {
	for len(f.events) > 0 {
		event := heap.Pop(&f.events).(*simulatedEvent)
		if event.at > requestDuration {
			break
		}
		f.now = f.start.Add(event.at)
		event.run()
	}
	for digest, since := range f.held {
		f.heldFor[digest] += f.now.Sub(since)
	}
}

func (f *fleet) watch(e *fleetEntry) {
	f.after(simulatedWatch, func() { f.watch(e) })
	if e.cutOff {
		return
	}
	parts, requests := e.guard.Sounds(f.now), e.guard.SoundRequests(f.now)
	age, served := e.guard.LastSound(f.now)
	held, suspects, leader := e.guard.HeldRequests(f.now), e.guard.SuspectRequests(f.now), e.leader
	f.after(f.callDelay(), func() {
		if leader != f.leader {
			f.registry.AdoptRequests(f.now, held, suspects)
		}
		f.registry.RecordSound(f.now, parts)
		f.registry.RecordSoundRequests(f.now, requests)
		if served {
			f.registry.RecordServed(f.now, age)
		}
		f.decide()
		now, by := f.now, f.leader
		suspectParts, quarantined := f.registry.Suspects(now), f.registry.Quarantined(now)
		suspects, held := f.registry.SuspectRequests(now), f.registry.HeldRequests(now)
		f.after(f.callDelay(), func() {
			e.leader = by
			e.guard.Apply(f.now, suspectParts, quarantined, false)
			e.guard.ApplyRequests(f.now, suspects, held, false)
		})
	})
}

func (f *fleet) decide() {
	f.registry.Decide(f.now)
	held := make(map[kwid.RequestDigest]bool)
	for _, h := range f.registry.HeldRequests(f.now) {
		held[h.Digest] = true
		if _, ok := f.held[h.Digest]; !ok {
			f.held[h.Digest] = f.now
		}
	}
	for digest, since := range f.held {
		if !held[digest] {
			f.heldFor[digest] += f.now.Sub(since)
			delete(f.held, digest)
		}
	}
	for _, q := range f.registry.Quarantined(f.now) {
		f.parts[keptPart(q)] = true
	}
}

func (f *fleet) newRequest(digest kwid.RequestDigest, parts ...kwid.PromptPartID) *fleetRequest {
	f.requests++
	req := &fleetRequest{
		id: kwid.RequestID(fmt.Sprint("request-", f.requests)), digest: digest, entry: f.entries[f.rng.IntN(len(f.entries))],
		life: f.between(50*time.Millisecond, 600*time.Millisecond), bad: -1,
	}
	if f.cfg.prompts {
		req.parts = append([]kwid.PromptPartID{firstPart}, parts...)
		req.life += f.between(100*time.Millisecond, 2*time.Second)
	}
	return req
}

func (f *fleet) sendInnocent() {
	body := fmt.Sprint("unique ", f.requests)
	if f.rng.Float64() < popularShare {
		body = fmt.Sprint("popular ", f.zipf.Uint64())
	}
	f.innocents++
	digest := DigestRequest("host", "/", "caller", []byte(body))
	f.names[digest] = body
	f.attempt(f.newRequest(digest, kwid.PromptPartID(fmt.Sprint("middle-", f.zipf.Uint64()))))
}

func (f *fleet) sendCrashing(i int) {
	part := kwid.PromptPartID(fmt.Sprint("of-crashing-", i))
	if f.cfg.sharedPart {
		part = "of-crashing"
	}
	req := f.newRequest(crashingDigest(i), part)
	if req.crashing = f.now.Sub(f.start) >= requestFrom; req.crashing {
		req.bad = i
	}
	req.life = f.between(20*time.Millisecond, 200*time.Millisecond)
	f.attempt(req)
}

func (f *fleet) sendCrashingPart() {
	req := f.newRequest(DigestRequest("host", "/", "caller", fmt.Append(nil, "part ", f.requests)), crashingPart)
	req.crashing = true
	f.attempt(req)
}

func (f *fleet) sendAttack(crash bool) {
	req := f.newRequest(DigestRequest("host", "/", "attacker", fmt.Append(nil, "attack ", f.requests)), "of-attacker")
	req.crashing, req.once = crash, crash
	req.life = 2 * time.Second
	if crash {
		req.life = 50 * time.Millisecond
	}
	req.tries = callerRetries
	f.attempt(req)
}

// attempt sends a request to a server, unless it or a part of it is held.
func (f *fleet) attempt(req *fleetRequest) {
	e := req.entry
	if _, ok := e.guard.Check(f.now, req.parts); ok {
		f.refused++
		return
	}
	if _, ok := e.guard.CheckRequest(f.now, req.digest); ok {
		f.refused++
		return
	}
	server := f.upServer()
	if server == nil {
		if req.waits++; req.waits <= simulatedWaits {
			f.after(f.between(simulatedWait/2, simulatedWait), func() { f.attempt(req) })
		}
		return
	}
	req.attempts++
	req.events, req.server = 0, server
	server.running = append(server.running, req)
	if req.bad >= 0 {
		f.sendsOf[req.bad] = append(f.sendsOf[req.bad], fleetSend{f.now, e.cutOff})
	}
	process := server.process()
	step := func(d time.Duration, run func()) {
		f.after(d, func() {
			if server.up && server.process() == process && slices.Contains(server.running, req) {
				run()
			}
		})
	}
	end := func() {
		server.running = slices.DeleteFunc(server.running, func(r *fleetRequest) bool { return r == req })
		e.guard.RecordAnswered(f.now, process, req.digest)
	}
	crashAt := crashPoint(-1)
	if req.crashing {
		if crashAt = f.cfg.crashAt; req.bad < 0 {
			crashAt = crashBeforeAnswer
		}
	}
	step(req.life/2, func() {
		if crashAt == crashBeforeAnswer {
			f.crashUnder(req, server)
			return
		}
		req.events = 1
		step(req.life/4, func() {
			if crashAt == crashAtHead {
				f.crashUnder(req, server)
				return
			}
			req.events = 2
			e.guard.RecordSound(f.now, req.parts)
			step(req.life/4, func() {
				if crashAt == crashAfterEvents {
					f.crashUnder(req, server)
					return
				}
				end()
				if crashAt == crashAfterAnswer {
					f.after(f.between(10*time.Millisecond, 700*time.Millisecond), func() {
						if server.up && server.process() == process {
							f.crashUnder(req, server)
						}
					})
				}
			})
		})
	})
}

func (f *fleet) upServer() *fleetServer {
	offset := f.rng.IntN(len(f.servers))
	for i := range f.servers {
		if server := f.servers[(offset+i)%len(f.servers)]; server.up {
			return server
		}
	}
	return nil
}

func (f *fleet) crashUnder(req *fleetRequest, server *fleetServer) {
	if req.bad >= 0 {
		f.crashesOf[req.bad] = append(f.crashesOf[req.bad], f.now)
	}
	if req.once {
		req.crashing = false
	}
	f.crash(server)
}

// crash ends a server and its requests, which are repeated by their entries and then by their callers.
func (f *fleet) crash(server *fleetServer) {
	if !server.up {
		return
	}
	f.crashes++
	process, running := server.process(), server.running
	server.up, server.running = false, nil
	f.after(f.between(2*time.Second, simulatedRestart), func() {
		server.up = true
		server.started = kwmembership.StartMillis(f.now.Sub(f.start).Milliseconds())
	})
	noticed := make(map[*fleetEntry]bool)
	for _, req := range running {
		noticed[req.entry] = true
		f.after(f.between(2*time.Millisecond, 60*time.Millisecond), func() {
			var parts []kwid.PromptPartID
			if req.events < 2 {
				parts = req.parts
			}
			f.notice(req.entry, process, req, parts)
			f.repeat(req)
		})
	}
	for _, e := range f.entries {
		if !noticed[e] {
			f.after(f.between(2*time.Millisecond, noticeTime), func() { f.notice(e, process, nil, nil) })
		}
	}
}

// notice lets an entry know of a crash, and reports it to the leader.
func (f *fleet) notice(e *fleetEntry, process kwmembership.Process, req *fleetRequest, parts []kwid.PromptPartID) {
	var inFlight []kwid.RequestDigest
	if req != nil {
		inFlight = append(inFlight, req.digest)
	}
	before := e.guard.RecordCrashed(f.now, process, inFlight)
	ages := make(map[kwid.RequestDigest]time.Duration)
	for _, digest := range append(inFlight, before...) {
		if !f.cfg.noSoundAge {
			ages[digest] = e.guard.SoundAge(f.now, digest)
		}
	}
	if e.cutOff {
		return
	}
	f.after(f.callDelay(), func() {
		if req != nil {
			f.registry.RecordCrash(f.now, Evidence{Crash: process, Request: req.id, Digest: req.digest, Parts: parts, SoundAge: ages[req.digest]})
		}
		for _, digest := range before {
			f.registry.RecordCrash(f.now, Evidence{Crash: process, Request: "before", Digest: digest, SoundAge: ages[digest]})
		}
		f.decide()
	})
}

func (f *fleet) repeat(req *fleetRequest) {
	if req.attempts < simulatedAttempts && !req.entry.guard.SuspectedRequest(req.digest) {
		f.after(f.between(5*time.Millisecond, 50*time.Millisecond), func() { f.attempt(req) })
		return
	}
	if req.tries++; req.tries > callerRetries || req.bad >= 0 {
		return
	}
	f.after(f.between(callerDelay, 2*callerDelay), func() {
		f.requests++
		again := *req
		again.id, again.attempts, again.waits = kwid.RequestID(fmt.Sprint("request-", f.requests)), 0, 0
		again.entry = f.entries[f.rng.IntN(len(f.entries))]
		f.attempt(&again)
	})
}

// late returns how often a crashing request was sent by entries in touch later than contactTime after its third crash.
func (f *fleet) late(i int) int {
	if len(f.crashesOf[i]) < 3 {
		return 0
	}
	limit, late := f.crashesOf[i][2].Add(contactTime), 0
	for _, s := range f.sendsOf[i] {
		if s.at.After(limit) && !s.cutOff {
			late++
		}
	}
	return late
}

// innocentsHeld returns how many requests were held that crash nothing.
func (f *fleet) innocentsHeld() int {
	n := 0
	for digest := range f.heldFor {
		if _, ok := f.names[digest]; ok {
			n++
		}
	}
	return n
}

// requestSimulation is a fleet, its load, and what may go wrong in it.
type requestSimulation struct {
	name             string
	entries, servers int
	seeds            int
	load             func(*requestSimulationConfig)
	// points are the times of the crash, all if empty.
	points []crashPoint
}

// each calls check with the fleet of each seed and crash point at the end of its run.
func (sim requestSimulation) each(check func(seed uint64, at crashPoint, f *fleet)) {
	points := sim.points
	if len(points) == 0 {
		for at := range crashPoints {
			points = append(points, at)
		}
	}
	for _, seed := range simulationSeeds(sim.seeds) {
		for _, at := range points {
			cfg := requestSimulationConfig{entries: sim.entries, servers: sim.servers, crashAt: at, seed: seed}
			sim.load(&cfg)
			f := newFleet(cfg)
			f.run()
			check(seed, at, f)
		}
	}
}

// checkCrashing checks that crashing requests are kept from servers, and nothing else that many requests share.
func (sim requestSimulation) checkCrashing(t *testing.T) {
	t.Parallel()
	runs, lateRuns, late := 0, 0, 0
	sim.each(func(seed uint64, at crashPoint, f *fleet) {
		runs++
		overdue := false
		for i := range f.cfg.crashingRates {
			n := f.late(i)
			late = max(late, n)
			overdue = overdue || n > lateRequests
		}
		if overdue {
			lateRuns++
			t.Errorf("seed %d, crash point %d: a crashing request was sent more than %d times later than %v after crash 3, want %d at most",
				seed, at, lateRequests, contactTime, lateRequests)
		}
		for part := range f.parts {
			if part != crashingPart {
				t.Errorf("seed %d, crash point %d: got a quarantine of %s, want none", seed, at, part)
			}
		}
		if _, ok := f.heldFor[crashingDigest(0)]; len(f.cfg.crashingRates) == 1 && len(f.crashesOf[0]) > 6 && !ok {
			t.Errorf("seed %d, crash point %d: got no hold of the crashing request after %d crashes", seed, at, len(f.crashesOf[0]))
		}
	})
	t.Logf("%d runs: %d with more than %d late requests (%d at most)", runs, lateRuns, lateRequests, late)
}

// checkInnocent checks that no request is held that crashes nothing.
func (sim requestSimulation) checkInnocent(t *testing.T) {
	t.Parallel()
	runs, heldRuns, held, innocents := 0, 0, 0, 0
	sim.each(func(_ uint64, _ crashPoint, f *fleet) {
		runs++
		innocents += f.innocents
		if n := f.innocentsHeld(); n > 0 {
			heldRuns++
			held += n
		}
	})
	if held > 0 {
		t.Errorf("got %d of %d innocent requests held, in %d of %d runs, want none", held, innocents, heldRuns, runs)
	}
}

// rate returns a load with crashing requests at these rates a second.
func rate(rates ...float64) func(*requestSimulationConfig) {
	return func(c *requestSimulationConfig) { c.crashingRates = rates }
}

func prompts(load func(*requestSimulationConfig)) func(*requestSimulationConfig) {
	return func(c *requestSimulationConfig) {
		c.prompts = true
		load(c)
	}
}

// requestSimulations returns fleets whose servers crash under requests.
func requestSimulations() []requestSimulation {
	together := func(over time.Duration) func(*requestSimulationConfig) {
		return func(c *requestSimulationConfig) { c.crashTogether, c.crashOver = c.servers, over }
	}
	withRate := func(load func(*requestSimulationConfig)) func(*requestSimulationConfig) {
		return func(c *requestSimulationConfig) {
			c.crashingRates = []float64{3}
			load(c)
		}
	}
	whole := []crashPoint{crashAfterAnswer}
	before := []crashPoint{crashBeforeAnswer, crashAtHead, crashAfterEvents}
	first := []crashPoint{crashBeforeAnswer}
	otherCrashes := func(c *requestSimulationConfig) { c.otherCrashes = 0.7 }
	soundBefore := func(c *requestSimulationConfig) { c.soundBefore = true }
	cutOff := func(c *requestSimulationConfig) { c.cutOff = max(c.entries/3, 1) }
	newLeader := func(c *requestSimulationConfig) { c.newLeaderAt = requestFrom + 400*time.Millisecond }
	part := func(c *requestSimulationConfig) { c.prompts, c.crashingPartRate = true, 3 }
	attack := func(c *requestSimulationConfig) { c.attackRate, c.attackCrashes = 100, 1 }
	return []requestSimulation{
		{"1 a second, 3 servers", 3, 3, 2, rate(1), before},
		{"1 a second, 7 servers", 7, 7, 1, rate(1), before},
		{"3 a second, 3 servers", 3, 3, 2, rate(3), before},
		{"3 a second, 7 servers", 7, 7, 2, rate(3), before},
		{"3 a second, 33 servers", 8, 33, 1, rate(3), first},
		{"12 a second, 3 servers", 3, 3, 2, rate(12), before},
		{"12 a second, 7 servers", 7, 7, 1, rate(12), first},
		{"answered before, 3 servers", 3, 3, 2, withRate(soundBefore), before},
		{"answered before, 7 servers", 7, 7, 1, withRate(soundBefore), before},
		{"answered before, 33 servers", 8, 33, 1, withRate(soundBefore), first},
		{"streams, 3 servers", 3, 3, 2, prompts(rate(3)), before},
		{"streams, 7 servers", 7, 7, 1, prompts(rate(3)), first},
		{"crash after the answer, 3 servers", 3, 3, 2, rate(3), whole},
		{"crash after the answer, 7 servers", 7, 7, 2, rate(3), whole},
		{"crash after the answer, 33 servers", 8, 33, 1, rate(3), whole},
		{"two, 3 servers", 3, 3, 2, rate(3, 3), before},
		{"two, 7 servers", 7, 7, 1, rate(3, 3), before},
		{"two, 33 servers", 8, 33, 1, rate(3, 3), first},
		{"two streams, 3 servers", 3, 3, 2, prompts(rate(3, 3)), before},
		{"two streams, 7 servers", 7, 7, 1, prompts(rate(3, 3)), first},
		{"two, crash after the answer, 7 servers", 7, 7, 2, rate(3, 3), whole},
		{"crashing part too, 3 servers", 3, 3, 2, withRate(part), first},
		{"crashing part too, 7 servers", 7, 7, 1, withRate(part), first},
		{"crashing part too, 33 servers", 8, 33, 1, withRate(part), first},
		{"other crashes too, 3 servers", 3, 3, 2, withRate(otherCrashes), before},
		{"other crashes too, 7 servers", 7, 7, 1, withRate(otherCrashes), first},
		{"other crashes too, 33 servers", 8, 33, 1, withRate(otherCrashes), first},
		{"other crashes alone, 3 servers", 3, 3, 2, otherCrashes, first},
		{"other crashes alone, 7 servers", 7, 7, 2, otherCrashes, first},
		{"all servers at once, 3 servers", 3, 3, 2, together(0), first},
		{"all servers at once, 7 servers", 7, 7, 2, together(0), first},
		{"all servers within 0.3 s, 3 servers", 3, 3, 2, together(300 * time.Millisecond), first},
		{"all servers within 0.3 s, 7 servers", 7, 7, 2, together(300 * time.Millisecond), first},
		{"all servers within 0.3 s, 33 servers", 8, 33, 1, together(300 * time.Millisecond), first},
		{"entries cut off, 3 servers", 3, 3, 2, withRate(cutOff), before},
		{"entries cut off, 7 servers", 7, 7, 1, withRate(cutOff), first},
		{"entries cut off, 33 servers", 8, 33, 1, withRate(cutOff), first},
		{"new leader, 3 servers", 3, 3, 2, withRate(newLeader), before},
		{"new leader, 7 servers", 7, 7, 1, withRate(newLeader), first},
		{"attacker, 3 servers", 3, 3, 1, withRate(attack), first},
		{"attacker, 7 servers", 7, 7, 1, withRate(attack), first},
		{"attacker, 33 servers", 8, 33, 1, withRate(attack), first},
	}
}

// TestCrashingRequestsSimulated guards against requests that crash one server after the other.
func TestCrashingRequestsSimulated(t *testing.T) {
	for _, sim := range requestSimulations() {
		t.Run(sim.name, sim.checkCrashing)
	}
}

// TestInnocentRequestsSimulated guards against the hold of requests that only were on servers when these crashed.
func TestInnocentRequestsSimulated(t *testing.T) {
	for _, sim := range requestSimulations() {
		t.Run(sim.name, sim.checkInnocent)
	}
}
