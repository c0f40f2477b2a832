package kwdirectentry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

const (
	// soundReads is the number of reads of events in one attempt after which a server has shown that it does not crash when it
	// begins the answer.
	soundReads = 2
	// trialCallTimeout bounds the call by which the leader allows a trial of a quarantined part.
	trialCallTimeout = 300 * time.Millisecond
	// minQuarantineRetryAfter is the least Retry-After time of a request with a quarantined part.
	minQuarantineRetryAfter = 5 * time.Second
)

// checkQuarantine returns an error if the request, or a part of its prompt, is kept from servers. When a trial of the part is due, the
// leader lets one request of the fleet pass.
func (g *Gateway) checkQuarantine(ctx context.Context, q *request) *kwcode.Error {
	if err := g.checkHeld(ctx, q); err != nil {
		return err
	}
	held, ok := g.partGuard.Check(time.Now(), q.guardedParts())
	if !ok || q.trial {
		if q.sends == 0 {
			q.suspect = g.partGuard.Suspected(time.Now(), q.guardedParts())
		}
		return nil
	}
	if held.Remaining == 0 && g.startTrial(ctx, held.Part) {
		q.trial = true
		return nil
	}
	g.metrics.quarantined.Inc(1)
	return quarantinedError(held)
}

// kept returns an error if the request, or a part of its prompt, is kept from servers. Unlike checkQuarantine it asks for no trial and
// counts nothing, so that an attempt that has begun can be checked often.
func (g *Gateway) kept(q *request) *kwcode.Error {
	now := time.Now()
	if held, ok := g.partGuard.CheckRequest(now, q.digest); ok && !q.requestTrial {
		return heldError(q.digest, held.Remaining)
	}
	if held, ok := g.partGuard.Check(now, q.guardedParts()); ok && !q.trial {
		return quarantinedError(held)
	}
	return nil
}

func quarantinedError(held kwquarantine.Quarantine) *kwcode.Error {
	return kwcode.New(kwcode.PromptQuarantined, "model servers crash under part %s of the prompt", held.Part).
		After(max(held.Remaining, minQuarantineRetryAfter))
}

// promptIsRead reports whether the request goes to model servers. Other services do not read prompts.
func (q *request) promptIsRead() bool {
	s := q.view.index.Service(q.service)
	return s != nil && s.Engine != nil
}

// guardedParts returns the shared parts of a prompt that model servers read.
func (q *request) guardedParts() []kwid.PromptPartID {
	if !q.promptIsRead() {
		return nil
	}
	return q.meta.SharedParts
}

// startTrial reports whether the leader allows this entry to send one request with a quarantined part.
func (g *Gateway) startTrial(ctx context.Context, part kwid.PromptPartID) bool {
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	// Without an answer the part stays quarantined, and a later request asks again.
	return g.leader.Call(ctx, kwdirectproto.KindQuarantineTrial, kwdirectproto.QuarantineTrial{Entry: g.cfg.Node, Part: part}, nil, 0) == nil
}

// recordSound records that the prompt of a request does not crash the server that answers it. One without shared parts shows
// that model servers serve.
func (g *Gateway) recordSound(q *request) {
	if q.promptIsRead() {
		g.partGuard.RecordSound(time.Now(), q.meta.SharedParts)
	}
}

// recordSoundStream records, once for a stream, that a server has gone on with the answer after its beginning.
func (g *Gateway) recordSoundStream(s *streamState) {
	if !s.sound {
		s.sound = true
		g.recordSound(s.q)
	}
}

// checkForCrash probes an endpoint that was to answer a request and broke it off. If it has crashed, the request is reported to
// the leader as evidence against its repeats, and against these parts of its prompt.
func (g *Gateway) checkForCrash(q *request, process kwmembership.Process, address string, parts []kwid.PromptPartID) {
	if q.stopped() {
		return
	}
	refuses := func() bool { return kwupstream.Probe(g.ctx, address) == kwchainsearch.Refused }
	if !g.crashLog.crashed(time.Now(), process, refuses) {
		g.partGuard.RecordAbandoned(time.Now(), process, q.digest)
		return
	}
	if g.leaves(process) {
		g.reportCrash(process)
		return
	}
	q.ownCrashes++
	if len(parts) > 0 {
		q.crashes++
	}
	g.deps.Events.Emit(kwevent.RequestCrashed, q.meta.ID, kwevent.F("endpoint", process.Endpoint), kwevent.F("address", address),
		kwevent.F("born", process.StartedMillis), kwevent.F("digest", q.digest.String()), kwevent.F("parts", parts))
	g.reportCrash(process, kwdirectproto.CrashedRequest{
		Request: q.meta.ID, Digest: q.digest, Parts: parts, SoundAge: g.partGuard.SoundAge(time.Now(), q.digest),
	})
}

// processesOf returns the present processes of a chain, in the order of its stages; of an endpoint that has left the view, the one that
// the chain was chosen by.
func (g *Gateway) processesOf(q *request, chain kwchainsearch.Chain) []kwmembership.Process {
	processes := make([]kwmembership.Process, 0, len(chain.Stages))
	for _, stage := range chain.Stages {
		process, known := g.scheduler.leavers.Process(stage.Endpoint)
		if !known {
			process.StartedMillis = q.view.endpoints[stage.Endpoint].Announcement.StartedMillis
		}
		processes = append(processes, process)
	}
	return processes
}

// process returns the process of an endpoint in the chain of the current attempt.
func (s *streamState) process(id kwid.EndpointID) kwmembership.Process {
	if i := slices.IndexFunc(s.processes, func(p kwmembership.Process) bool { return p.Endpoint == id }); i >= 0 {
		return s.processes[i]
	}
	return kwmembership.Process{Endpoint: id}
}

// mayCrashAgain reports whether a request is likely to crash the next server too: a server has crashed under it, and the request or one
// of its parts was a suspect already when it was first sent. Its own crash makes it and all its parts suspects.
func (q *request) mayCrashAgain() bool {
	return q.crashes > 0 && (q.suspect || q.trial) || q.ownCrashes > 0 && (q.suspectRequest || q.requestTrial)
}

// crashLog remembers which processes of endpoints have crashed. All streams of an endpoint break off together, and one probe
// serves them all. It is safe for concurrent use.
type crashLog struct {
	mu     sync.Mutex
	checks map[kwmembership.Process]*crashCheck
	// unresponsive tells when a probe of a process last got no answer.
	unresponsive map[kwmembership.Process]time.Time
}

func newCrashLog() *crashLog {
	return &crashLog{checks: make(map[kwmembership.Process]*crashCheck), unresponsive: make(map[kwmembership.Process]time.Time)}
}

// recordUnresponsive records that a probe of a process has got no answer.
func (l *crashLog) recordUnresponsive(now time.Time, process kwmembership.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive[process] = now
}

// crashCheck is a probe of one endpoint; crashed is valid once done is closed.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

// crashed reports whether a process of an endpoint has crashed; probe finds out, unless an earlier probe has or is about to. A process
// whose last probe got no answer a moment ago has not: its VM is silent, and another probe would hold the streams that resume for its
// whole time-out.
func (l *crashLog) crashed(now time.Time, process kwmembership.Process, probe func() bool) bool {
	l.mu.Lock()
	check, ok := l.checks[process]
	if !ok && now.Sub(l.unresponsive[process]) < faultCheckInterval {
		l.mu.Unlock()
		return false
	}
	if !ok {
		check = &crashCheck{done: make(chan struct{})}
		l.checks[process] = check
	}
	l.mu.Unlock()
	if ok {
		<-check.done
		return check.crashed
	}
	check.crashed = probe()
	close(check.done)
	if !check.crashed {
		l.mu.Lock()
		delete(l.checks, process)
		l.mu.Unlock()
	}
	return check.crashed
}

// retain forgets the processes that are no longer known.
func (l *crashLog) retain(known func(kwmembership.Process) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.checks, func(process kwmembership.Process, _ *crashCheck) bool { return !known(process) })
	maps.DeleteFunc(l.unresponsive, func(process kwmembership.Process, _ time.Time) bool { return !known(process) })
}
