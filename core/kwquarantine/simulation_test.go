package kwquarantine

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// The long run: go test ./core/kwquarantine -run 'Crash|Outage|Share' -seeds 200 -timeout 0
var seedCount = flag.Int("seeds", 0, "number of seeds of each simulated fleet, 0 for the default")

// simulationSeeds returns the first n seeds, or as many as the flag says, and the seeds that a fault was once found with.
func simulationSeeds(n int, failed ...uint64) []uint64 {
	if *seedCount > 0 {
		n = *seedCount
	}
	var seeds []uint64
	for seed := range uint64(n) {
		seeds = append(seeds, seed)
	}
	for _, seed := range failed {
		if !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// simulationConfig describes a fleet and its load.
type simulationConfig struct {
	entries, servers int
	// crashingRate is the number of requests a second with the crashing part.
	crashingRate float64
	// crashTogether is the number of servers that crash at crashesFrom for another reason.
	crashTogether int
	// crashOver is the time in which they crash, 0 for one moment; outage is the time after which they are back, 0 for
	// simulatedRestart.
	crashOver, outage time.Duration
	// soundBefore makes the servers answer requests with the crashing part soundly until crashesFrom.
	soundBefore bool
	// heedSuspects keeps entries from repeating requests with a suspected part.
	heedSuspects bool
	// interleave mixes the requests of several sessions.
	interleave bool
	// callerRetries is how often a caller sends a request again that failed, each time at another entry.
	callerRetries int
	// otherCrashes is the number of servers a second that crash for another reason from crashesFrom on.
	otherCrashes float64
	// newLeaderEvery is the time between two changes of leader from crashesFrom on, 0 for none.
	newLeaderEvery time.Duration
	// eventsBeforeCrash is the number of events that a server sends before it crashes, up to 2.
	eventsBeforeCrash int
	// cutOff is the number of entries that have no contact with control from crashesFrom on, for half of the time.
	cutOff int
	// crashesFor is how long the simulation goes on after crashesFrom, 0 for simulatedDuration in all.
	crashesFor time.Duration
	seed       uint64
}

// duration returns how long the simulation goes on.
func (c simulationConfig) duration() time.Duration {
	if c.crashesFor > 0 {
		return crashesFrom + c.crashesFor
	}
	return simulatedDuration + c.outage
}

const (
	// The ID of the crashing part is the largest, so that no choice by ID favors it.
	crashingPart = kwid.PromptPartID("the-crashing-part")
	firstPart    = kwid.PromptPartID("first")

	simulatedAttempts    = 2
	simulatedWatch       = 300 * time.Millisecond
	simulatedRestart     = 3 * time.Second
	simulatedMiddleParts = 300
	// simulatedSession is the number of requests in a session, of which each has a part of its own.
	simulatedSession = 3
	// simulatedSessions is the number of sessions whose requests are interleaved.
	simulatedSessions = 8
	// A request that finds no server comes back after simulatedWait, simulatedWaits times at most.
	simulatedWait  = time.Second
	simulatedWaits = 5
	// soundRatePerServer is the number of requests a second without the crashing part, for each server.
	soundRatePerServer = 2.5
	crashesFrom        = 3 * time.Second
	simulatedDuration  = 13 * time.Second
	secondEventAfter   = 30 * time.Millisecond

	// At most stopRequests crashing requests are sent later than stopWithin after crash number stopFromCrash.
	stopFromCrash = 5
	stopWithin    = 3 * time.Second
	stopRequests  = 3
	// wrongQuarantine is how long a sound part may be quarantined.
	wrongQuarantine = time.Second
)

// simulatedRequest is one request and its present stream.
type simulatedRequest struct {
	id       kwid.RequestID
	digest   kwid.RequestDigest
	entry    *simulatedEntry
	parts    []kwid.PromptPartID
	crashing bool
	attempts int
	retries  int
	waits    int
	// events is the number of events that the present stream has received, up to 2.
	events int
}

type simulatedServer struct {
	id      kwid.EndpointID
	started kwmembership.StartMillis
	up      bool
	streams map[*simulatedRequest]struct{}
	// order holds the streams in the order of their arrival, so that runs are repeatable.
	order []*simulatedRequest
}

type simulatedEntry struct {
	guard  *Guard
	cutOff bool
	// inTouchSince is when it last was cut off.
	inTouchSince time.Time
	// leader is the number of the leader whose view it has.
	leader int
}

type simulatedEvent struct {
	// at is the time since the start.
	at     time.Duration
	number int
	run    func()
}

type eventHeap []*simulatedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].number < h[j].number
	}
	return h[i].at < h[j].at
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*simulatedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is a fleet whose servers crash under one part, or together.
type simulation struct {
	cfg      simulationConfig
	rng      *rand.Rand
	zipf     *rand.Zipf
	start    time.Time
	now      time.Time
	events   eventHeap
	pushed   int
	registry *Registry
	leader   int
	entries  []*simulatedEntry
	servers  []*simulatedServer
	requests int
	// refused counts the requests without a crashing part that were kept from servers.
	refused int
	// requestsOf counts the requests with and without the crashing part.
	requestsOf map[bool]int

	crashes []time.Time
	// crashingSent is when entries in touch sent requests with the crashing part to a server after crashesFrom.
	crashingSent []time.Time
	served       []time.Time
	heldSince    map[kwid.PromptPartID]time.Time
	heldFor      map[kwid.PromptPartID]time.Duration
}

func newSimulation(cfg simulationConfig) *simulation {
	rng := rand.New(rand.NewPCG(cfg.seed, 21))
	s := &simulation{
		cfg:       cfg,
		rng:       rng,
		zipf:      rand.NewZipf(rng, 1.2, 2, simulatedMiddleParts-1),
		start:     time.Unix(1_700_000_000, 0),
		registry:  NewRegistry(DefaultConfig()),
		heldSince: make(map[kwid.PromptPartID]time.Time),
		heldFor:   make(map[kwid.PromptPartID]time.Duration),

		requestsOf: make(map[bool]int),
	}
	s.now = s.start
	for i := range cfg.entries {
		e := &simulatedEntry{guard: NewGuard(DefaultGuardConfig())}
		s.entries = append(s.entries, e)
		s.after(s.between(0, simulatedWatch), func() { s.watch(e) })
		if i < cfg.cutOff {
			s.after(crashesFrom, func() { e.cutOff = true })
			s.after(crashesFrom+(cfg.duration()-crashesFrom)/2, func() { e.cutOff, e.inTouchSince = false, s.now })
		}
	}
	if cfg.newLeaderEvery > 0 {
		s.after(crashesFrom+s.between(0, cfg.newLeaderEvery), s.changeLeader)
	}
	if cfg.otherCrashes > 0 {
		s.after(crashesFrom, s.crashOther)
	}
	for i := range cfg.servers {
		s.servers = append(s.servers, &simulatedServer{
			id: kwid.EndpointID(fmt.Sprint("server-", i)), up: true, streams: make(map[*simulatedRequest]struct{}),
		})
	}
	s.after(0, func() { s.arrive(soundRatePerServer*float64(cfg.servers), false) })
	if cfg.crashingRate > 0 {
		firstArrival := crashesFrom
		if cfg.soundBefore {
			firstArrival = 0
		}
		s.after(firstArrival, func() { s.arrive(cfg.crashingRate, true) })
	}
	s.after(crashesFrom, func() {
		for _, server := range s.servers[:cfg.crashTogether] {
			if cfg.crashOver == 0 {
				s.crash(server)
				continue
			}
			s.after(s.between(0, cfg.crashOver), func() { s.crash(server) })
		}
	})
	return s
}

// changeLeader makes another process lead, which knows nothing, and the next one later.
func (s *simulation) changeLeader() {
	s.leader++
	s.registry = NewRegistry(DefaultConfig())
	s.after(s.cfg.newLeaderEvery, s.changeLeader)
}

// crashOther crashes a server for another reason, and the next one after a random time.
func (s *simulation) crashOther() {
	if server := s.servers[s.rng.IntN(len(s.servers))]; server.up {
		s.crash(server)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/s.cfg.otherCrashes*float64(time.Second)), s.crashOther)
}

func (s *simulation) after(d time.Duration, run func()) {
	s.pushed++
	heap.Push(&s.events, &simulatedEvent{at: s.now.Sub(s.start) + d, number: s.pushed, run: run})
}

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// callDelay is the time that a call between an entry and the leader takes one way.
func (s *simulation) callDelay() time.Duration {
	return s.between(time.Millisecond, 40*time.Millisecond)
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(*simulatedEvent)
		if event.at > s.cfg.duration() {
			break
		}
		s.now = s.start.Add(event.at)
		event.run()
	}
	for part, since := range s.heldSince {
		s.heldFor[part] = max(s.heldFor[part], s.now.Sub(since))
	}
}

// watch reports the sound requests of an entry to the leader and applies its view.
func (s *simulation) watch(e *simulatedEntry) {
	s.after(simulatedWatch, func() { s.watch(e) })
	if e.cutOff {
		return
	}
	sounds, soundRequests := e.guard.Sounds(s.now), e.guard.SoundRequests(s.now)
	age, served := e.guard.LastSound(s.now)
	held, heldRequests, suspectRequests, leader := e.guard.Held(s.now), e.guard.HeldRequests(s.now), e.guard.SuspectRequests(s.now), e.leader
	s.after(s.callDelay(), func() {
		if leader != s.leader {
			s.registry.Adopt(s.now, held)
			s.registry.AdoptRequests(s.now, heldRequests, suspectRequests)
		}
		s.registry.RecordSound(s.now, sounds)
		s.registry.RecordSoundRequests(s.now, soundRequests)
		if served {
			s.registry.RecordServed(s.now, age)
		}
		s.decide()
		by := s.leader
		suspects, quarantined := s.registry.Suspects(s.now), s.registry.Quarantined(s.now)
		suspectRequests, heldRequests := s.registry.SuspectRequests(s.now), s.registry.HeldRequests(s.now)
		s.after(s.callDelay(), func() {
			if e.leader != by {
				for _, ev := range e.guard.Reported(s.now) {
					s.report(e, ev)
				}
			}
			e.leader = by
			e.guard.Apply(s.now, suspects, quarantined, false)
			e.guard.ApplyRequests(s.now, suspectRequests, heldRequests, false)
		})
	})
}

func (s *simulation) decide() {
	if !s.registry.Decide(s.now) {
		return
	}
	held := make(map[kwid.PromptPartID]bool)
	for _, q := range s.registry.Quarantined(s.now) {
		part := keptPart(q)
		held[part] = true
		if _, ok := s.heldSince[part]; !ok {
			s.heldSince[part] = s.now
		}
	}
	for part, since := range s.heldSince {
		if !held[part] {
			s.heldFor[part] = max(s.heldFor[part], s.now.Sub(since))
			delete(s.heldSince, part)
		}
	}
}

// keptPart returns the part of a quarantine, or the crashing part if only prompts with that are kept from servers.
func keptPart(q Quarantine) kwid.PromptPartID {
	if slices.Contains(q.With, crashingPart) {
		return crashingPart
	}
	return q.Part
}

// arrive sends a request to a random entry, and the next one after a random time.
func (s *simulation) arrive(rate float64, crashing bool) {
	s.requests++
	s.requestsOf[crashing]++
	session := s.requestsOf[crashing] / simulatedSession
	if s.cfg.interleave {
		session = session/simulatedSessions*simulatedSessions + s.rng.IntN(simulatedSessions)
	}
	req := &simulatedRequest{
		id:       kwid.RequestID(fmt.Sprint("request-", s.requests)),
		entry:    s.entries[s.rng.IntN(len(s.entries))],
		parts:    []kwid.PromptPartID{firstPart, s.middlePart(), kwid.PromptPartID(fmt.Sprintf("session-%t-%d", crashing, session))},
		crashing: crashing,
	}
	if crashing {
		req.parts = append(req.parts, crashingPart)
	} else {
		req.parts = append(req.parts, s.middlePart())
	}
	req.digest = DigestRequest("host", "/", "caller", []byte(req.id))
	s.attempt(req)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(rate, crashing) })
}

func (s *simulation) middlePart() kwid.PromptPartID {
	return kwid.PromptPartID(fmt.Sprint("middle-", s.zipf.Uint64()))
}

// attempt sends a request to a server, unless one of its parts is quarantined; without a server it waits.
func (s *simulation) attempt(req *simulatedRequest) {
	_, quarantined := req.entry.guard.Check(s.now, req.parts)
	_, held := req.entry.guard.CheckRequest(s.now, req.digest)
	if quarantined || held {
		if !req.crashing {
			s.refused++
		}
		return
	}
	server := s.upServer()
	if server == nil {
		if req.waits++; req.waits <= simulatedWaits {
			s.after(simulatedWait, func() { s.attempt(req) })
		}
		return
	}
	req.attempts++
	req.events = 0
	server.streams[req] = struct{}{}
	server.order = append(server.order, req)
	crashes := func() bool { return req.crashing && s.now.Sub(s.start) >= crashesFrom }
	if crashes() && !req.entry.cutOff && s.now.Sub(req.entry.inTouchSince) >= stopWithin {
		s.crashingSent = append(s.crashingSent, s.now)
	}
	process := server.started
	// step runs the next step of the stream if its server still runs.
	step := func(d time.Duration, run func()) {
		s.after(d, func() {
			if _, ok := server.streams[req]; ok && server.started == process {
				run()
			}
		})
	}
	crashAfter := func(events int) bool { return crashes() && s.cfg.eventsBeforeCrash == events }
	step(s.between(50*time.Millisecond, 600*time.Millisecond), func() {
		if crashAfter(0) {
			s.crash(server)
			return
		}
		req.events = 1
		step(secondEventAfter, func() {
			if crashAfter(1) {
				s.crash(server)
				return
			}
			req.events = 2
			req.entry.guard.RecordSound(s.now, req.parts)
			if crashAfter(2) {
				step(s.between(50*time.Millisecond, 400*time.Millisecond), func() { s.crash(server) })
				return
			}
			step(s.between(500*time.Millisecond, 5*time.Second), func() {
				delete(server.streams, req)
				req.entry.guard.RecordAnswered(s.now, kwmembership.Process{Endpoint: server.id, StartedMillis: process}, req.digest)
				s.served = append(s.served, s.now)
			})
		})
	})
}

// upServer returns a random server that runs, or nil.
func (s *simulation) upServer() *simulatedServer {
	offset := s.rng.IntN(len(s.servers))
	for i := range s.servers {
		if server := s.servers[(offset+i)%len(s.servers)]; server.up {
			return server
		}
	}
	return nil
}

// crash ends a server and its streams; those without a second event look like the culprit. All are repeated that have attempts left,
// by their entries and then by their callers.
func (s *simulation) crash(server *simulatedServer) {
	s.crashes = append(s.crashes, s.now)
	id := kwmembership.Process{Endpoint: server.id, StartedMillis: server.started}
	for _, req := range server.order {
		if _, ok := server.streams[req]; !ok {
			continue
		}
		evidence := Evidence{Crash: id, Request: req.id, Digest: req.digest}
		if req.events <= 1 {
			evidence.Parts = req.parts
		} else if s.cfg.callerRetries == 0 {
			continue
		}
		delete(server.streams, req)
		e := req.entry
		e.guard.RecordReported(s.now, evidence)
		s.report(e, evidence)
		switch {
		case req.attempts < simulatedAttempts && !(s.cfg.heedSuspects && e.guard.Suspected(s.now, req.parts)):
			s.after(s.between(10*time.Millisecond, 100*time.Millisecond), func() { s.attempt(req) })
		case req.retries < s.cfg.callerRetries:
			retry := &simulatedRequest{
				id: req.id, digest: req.digest, entry: s.entries[s.rng.IntN(len(s.entries))], parts: req.parts, crashing: req.crashing,
				retries: req.retries + 1,
			}
			s.after(s.between(100*time.Millisecond, time.Second), func() { s.attempt(retry) })
		}
	}
	clear(server.streams)
	server.order = nil
	server.up = false
	s.after(max(s.cfg.outage, simulatedRestart), func() {
		server.up = true
		server.started = kwmembership.StartMillis(s.now.Sub(s.start).Milliseconds())
	})
}

// report reports a request of a crash to the leader, as soon as the entry is in touch with it.
func (s *simulation) report(e *simulatedEntry, evidence Evidence) {
	if e.cutOff {
		s.after(simulatedWatch, func() { s.report(e, evidence) })
		return
	}
	s.after(s.callDelay(), func() {
		s.registry.RecordCrash(s.now, evidence)
		s.decide()
	})
}

// TestCrashingPartStopsAfterFewServers simulates fleets whose servers crash under one part, from its first request on or after it
// was served soundly. At most three of its requests may be sent later than 3 s after the fifth crash, and no other part may be
// quarantined for longer than 1 s.
func TestCrashingPartStopsAfterFewServers(t *testing.T) {
	fleets := []struct{ entries, servers, seeds int }{
		{8, 33, 4}, {70, 33, 2}, {70, 184, 1}, {370, 33, 1}, {370, 600, 1}, {8, 600, 1},
	}
	for _, fleet := range fleets {
		for _, rate := range []float64{4, 12, 30} {
			for _, soundBefore := range []bool{false, true} {
				name := fmt.Sprintf("%d entries, %d servers, %g a second, sound before %t", fleet.entries, fleet.servers, rate, soundBefore)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					for _, seed := range simulationSeeds(fleet.seeds) {
						runCrashingPart(t, fleet.entries, fleet.servers, rate, soundBefore, seed)
					}
				})
			}
		}
	}
	// These failed once.
	t.Run("fixed seeds", func(t *testing.T) {
		t.Parallel()
		runCrashingPart(t, 70, 33, 30, true, 22)
		runCrashingPart(t, 370, 33, 12, true, 23)
	})
}

func runCrashingPart(t *testing.T, entries, servers int, rate float64, soundBefore bool, seed uint64) {
	t.Helper()
	s := newSimulation(simulationConfig{
		entries: entries, servers: servers, crashingRate: rate,
		soundBefore: soundBefore, heedSuspects: seed%2 == 1, seed: seed, interleave: seed%4 < 2,
	})
	s.run()
	checkSimulation(t, s)
}

// TestNoQuarantineWhenServersCrashTogether simulates fleets of which many servers crash at one moment, under no part.
func TestNoQuarantineWhenServersCrashTogether(t *testing.T) {
	fleets := []struct {
		entries, servers, crash, seeds int
		failed                         []uint64
	}{
		{8, 33, 10, 4, nil},
		{70, 33, 22, 2, []uint64{97, 107}},
		{70, 184, 60, 1, []uint64{42, 62, 98, 109, 126, 134}},
		{370, 600, 200, 0, []uint64{7, 10}},
	}
	for _, fleet := range fleets {
		t.Run(fmt.Sprintf("%d entries, %d of %d servers", fleet.entries, fleet.crash, fleet.servers), func(t *testing.T) {
			t.Parallel()
			for _, seed := range simulationSeeds(fleet.seeds, fleet.failed...) {
				s := newSimulation(simulationConfig{
					entries: fleet.entries, servers: fleet.servers, crashTogether: fleet.crash, interleave: seed%4 < 2, seed: seed,
				})
				s.run()
				if got, want := len(s.crashes), fleet.crash; got != want {
					t.Errorf("seed %d: got %d crashes, want %d", seed, got, want)
				}
				for part, d := range s.heldFor {
					t.Errorf("seed %d: got a quarantine of %s for %v, want none", seed, part, d)
				}
			}
		})
	}
}

// TestNoQuarantineAfterAnOutage simulates sites of which all servers crash, at one moment or within 0.3 s, and are back after 3 to
// 10 s.
func TestNoQuarantineAfterAnOutage(t *testing.T) {
	fleets := []struct{ entries, servers, seeds int }{{7, 7, 12}, {8, 33, 4}}
	for _, fleet := range fleets {
		for _, over := range []time.Duration{0, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d entries, %d servers, within %v", fleet.entries, fleet.servers, over), func(t *testing.T) {
				t.Parallel()
				for _, seed := range simulationSeeds(fleet.seeds) {
					s := newSimulation(simulationConfig{
						entries: fleet.entries, servers: fleet.servers, crashTogether: fleet.servers, crashOver: over,
						outage: 3*time.Second + time.Duration(seed%8)*time.Second, interleave: seed%4 < 2, seed: seed,
					})
					s.run()
					if got, want := len(s.crashes), fleet.servers; got != want {
						t.Errorf("seed %d: got %d crashes, want %d", seed, got, want)
					}
					for part, d := range s.heldFor {
						t.Errorf("seed %d: got a quarantine of %s for %v, want none", seed, part, d)
					}
				}
			})
		}
	}
}

// TestPartsThatAllRequestsShareAreServed simulates small sites of which all servers crash under one part, so that nothing is served
// for seconds.
func TestPartsThatAllRequestsShareAreServed(t *testing.T) {
	failed := map[float64][]uint64{30: {3, 38, 52, 79, 89, 105, 149, 173}}
	for _, rate := range []float64{4, 12, 30} {
		for _, soundBefore := range []bool{false, true} {
			t.Run(fmt.Sprintf("%g a second, sound before %t", rate, soundBefore), func(t *testing.T) {
				t.Parallel()
				for _, seed := range simulationSeeds(2, failed[rate]...) {
					s := newSimulation(simulationConfig{
						entries: 7, servers: 7, crashingRate: rate, soundBefore: soundBefore, heedSuspects: seed%2 == 1, seed: seed,
						interleave: seed%4 < 2,
					})
					s.run()
					if d, ok := s.heldFor[firstPart]; ok {
						t.Errorf("seed %d: got a quarantine of %s for %v, want none", seed, firstPart, d)
					}
				}
			})
		}
	}
}

func checkSimulation(t *testing.T, s *simulation) {
	t.Helper()
	seed := s.cfg.seed
	if got, want := len(s.crashes), DefaultConfig().MinCrashes; got < want {
		t.Fatalf("seed %d: got %d crashes, want %d at least", seed, got, want)
	}
	if _, ok := s.heldFor[crashingPart]; !ok {
		t.Errorf("seed %d: got no quarantine of the crashing part after %d crashes", seed, len(s.crashes))
	}
	late := 0
	if len(s.crashes) >= stopFromCrash {
		limit := s.crashes[stopFromCrash-1].Add(stopWithin)
		for _, at := range s.crashingSent {
			if at.After(limit) {
				late++
			}
		}
	}
	if late > stopRequests {
		t.Errorf("seed %d: got %d crashing requests sent later than %v after crash %d, want %d at most (%d crashes)",
			seed, late, stopWithin, stopFromCrash, stopRequests, len(s.crashes))
	}
	for part, d := range s.heldFor {
		if part != crashingPart && d > wrongQuarantine {
			t.Errorf("seed %d: got a quarantine of %s for %v, want %v at most", seed, part, d, wrongQuarantine)
		}
	}
	// Once all servers have restarted, everything else is served.
	atEnd := 2 * time.Second
	served := 0
	for _, at := range s.served {
		if at.After(s.start.Add(simulatedDuration - atEnd)) {
			served++
		}
	}
	if want := soundRatePerServer * float64(s.cfg.servers) * atEnd.Seconds() / 2; float64(served) < want {
		t.Errorf("seed %d: got %d requests served in the last %v, want %.0f at least", seed, served, atEnd, want)
	}
}
