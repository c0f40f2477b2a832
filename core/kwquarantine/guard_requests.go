package kwquarantine

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

const (
	// outlive is how long a server has to go on after an answer for the answer to be sound.
	outlive = time.Second
	// quietSound is the time after an answer for it to be sound if nothing else is heard of its server.
	quietSound = 3 * time.Second
	// maxAnswersPerProcess is the number of answers of one process that a Guard remembers; beyond it the oldest is forgotten.
	maxAnswersPerProcess = 1024
	// maxAnsweringProcesses is the number of processes whose answers a Guard remembers; beyond it the one that answered least
	// recently is forgotten.
	maxAnsweringProcesses = 1024
	// maxSoundRequests is the number of requests whose last sound run a Guard remembers; beyond it the one that had its sound run
	// least recently is forgotten.
	maxSoundRequests = 4096
	// maxOwnSounds is the number of sound runs of the entry's own suspects in one report.
	maxOwnSounds = 256
	// suspectCrashes is the number of crashes from which on a request is suspected: one more and it is held.
	suspectCrashes = 2
	// sameAnswer is the time between two records of an answer by the processes of one chain.
	sameAnswer = 100 * time.Millisecond
	// refreshInterval is the time between two times that a cut-off entry tells its own record of sound runs.
	refreshInterval = 250 * time.Millisecond
	// cutOffAfter is the time since the last view after which an entry relies on what it saw itself. Views come every second.
	cutOffAfter = 2 * time.Second
)

// answer is a request that a process answered completely, or that was abandoned there and is never sound.
type answer struct {
	digest    kwid.RequestDigest
	at        time.Time
	abandoned bool
}

// answerLog holds the answers of a process that are not known to be sound, the oldest first.
type answerLog struct {
	process kwmembership.Process
	answers []answer
	lastAt  time.Time
}

// heldUntil is a held request of the leader's view.
type heldUntil struct {
	until time.Time
	term  time.Duration
}

// requestGuard is a Guard's view of the held requests and its memory of answers; the Guard's lock protects it.
type requestGuard struct {
	// answerLogs holds answerLogs, the one with the latest answer first.
	answerLogs *list.List
	logOf      map[kwmembership.Process]*list.Element
	// sounds holds answers that are sound, the latest first.
	sounds  *list.List
	soundOf map[kwid.RequestDigest]*list.Element

	suspects map[kwid.RequestDigest]SuspectRequest
	held     map[kwid.RequestDigest]heldUntil
	// appliedAt is when the last view was applied.
	appliedAt time.Time
	// own counts what this entry saw itself; it decides only while the entry is cut off.
	own *Registry
	// refreshedAt is when own was last told of sound runs.
	refreshedAt time.Time
}

func newRequestGuard() requestGuard {
	return requestGuard{
		answerLogs: list.New(),
		logOf:      make(map[kwmembership.Process]*list.Element),
		sounds:     list.New(),
		soundOf:    make(map[kwid.RequestDigest]*list.Element),
		suspects:   make(map[kwid.RequestDigest]SuspectRequest),
		held:       make(map[kwid.RequestDigest]heldUntil),
		own:        NewRegistry(DefaultConfig()),
	}
}

// ApplyRequests takes over the requests of a leader's view, as Apply does with parts.
func (g *Guard) ApplyRequests(now time.Time, suspects []SuspectRequest, held []HeldRequest, merge bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.requests
	q.appliedAt = now
	if !merge {
		clear(q.suspects)
		clear(q.held)
	}
	for _, s := range suspects {
		if old, ok := q.suspects[s.Digest]; ok || len(q.suspects) < 2*maxRequestsInView {
			q.suspects[s.Digest] = mergeSuspects(s, old)
		}
	}
	for _, h := range held {
		old, ok := q.held[h.Digest]
		if !ok && len(q.held) >= 2*maxHeldRequests {
			continue
		}
		if until := now.Add(max(h.Remaining, 0)); !ok || until.After(old.until) {
			q.held[h.Digest] = heldUntil{until: until, term: h.Term}
		}
	}
}

// CheckRequest returns the hold that keeps a request from servers. A trial is due when Remaining is 0: the leader allows it. An entry
// that is cut off from control holds what crashed servers in its own sight, and lets one request pass itself when a term is over.
func (g *Guard) CheckRequest(now time.Time, digest kwid.RequestDigest) (HeldRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.requests
	cutOff := q.cutOff(now)
	if h, ok := q.held[digest]; ok {
		held := HeldRequest{Digest: digest, Remaining: max(h.until.Sub(now), 0), Term: h.term}
		if !cutOff || held.Remaining > 0 {
			return held, true
		}
		// Nobody else allows a trial.
		q.own.AdoptRequests(now, []HeldRequest{held}, nil)
		delete(q.held, digest)
	}
	if cutOff {
		if now.Sub(q.refreshedAt) >= refreshInterval {
			q.refresh(now, g.cfg.Memory)
		}
		q.own.Decide(now)
	}
	h, ok := q.own.heldRequest(now, digest)
	if !ok || h.Remaining > 0 {
		return h, ok
	}
	if !cutOff {
		q.own.dropHeldRequest(digest)
		return HeldRequest{}, false
	}
	if q.own.StartRequestTrial(now, digest) {
		return HeldRequest{}, false
	}
	return h, true
}

// cutOff reports whether no view has come for so long that the entry relies on what it saw itself.
func (q *requestGuard) cutOff(now time.Time) bool { return now.Sub(q.appliedAt) > cutOffAfter }

// SuspectedRequest reports whether a request is likely to crash the next server too, so that it is not sent again after a crash.
func (g *Guard) SuspectedRequest(digest kwid.RequestDigest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests.suspects[digest].Crashes >= suspectCrashes || g.requests.own.crashesOf(digest) >= suspectCrashes
}

// RecordAnswered records that a process answered a request completely. The answer is sound once the process has outlived it.
func (g *Guard) RecordAnswered(now time.Time, process kwmembership.Process, digest kwid.RequestDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	log := g.requests.log(process)
	g.requests.confirm(log, now.Add(-outlive))
	log.add(answer{digest: digest, at: now})
	log.lastAt = now
}

// RecordAbandoned records that an attempt of a request was given up, or broken off by a process that was not found to have crashed. If
// it crashes soon after, the request was on it.
func (g *Guard) RecordAbandoned(now time.Time, process kwmembership.Process, digest kwid.RequestDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests.log(process).add(answer{digest: digest, at: now, abandoned: true})
}

// log returns the log of a process as the latest.
func (q *requestGuard) log(process kwmembership.Process) *answerLog {
	e, ok := q.logOf[process]
	if ok {
		q.answerLogs.MoveToFront(e)
	} else {
		if q.answerLogs.Len() >= maxAnsweringProcesses {
			q.forgetLog(q.answerLogs.Back())
		}
		e = q.answerLogs.PushFront(&answerLog{process: process})
		q.logOf[process] = e
	}
	return e.Value.(*answerLog)
}

func (l *answerLog) add(a answer) {
	if len(l.answers) >= maxAnswersPerProcess {
		l.answers = slices.Delete(l.answers, 0, 1)
	}
	l.answers = append(l.answers, a)
}

// confirm makes the answers of a process up to a point in time sound.
func (q *requestGuard) confirm(log *answerLog, until time.Time) {
	n := 0
	for ; n < len(log.answers) && !log.answers[n].at.After(until); n++ {
		if !log.answers[n].abandoned {
			q.recordSound(log.answers[n])
		}
	}
	log.answers = slices.Delete(log.answers, 0, n)
}

func (q *requestGuard) forgetLog(e *list.Element) {
	delete(q.logOf, e.Value.(*answerLog).process)
	q.answerLogs.Remove(e)
}

// recordSound remembers the sound run of a request.
func (q *requestGuard) recordSound(a answer) {
	if e, ok := q.soundOf[a.digest]; ok {
		if s := e.Value.(*answer); a.at.After(s.at) {
			s.at = a.at
		}
		q.sounds.MoveToFront(e)
		return
	}
	if q.sounds.Len() >= maxSoundRequests {
		oldest := q.sounds.Back()
		delete(q.soundOf, oldest.Value.(*answer).digest)
		q.sounds.Remove(oldest)
	}
	q.soundOf[a.digest] = q.sounds.PushFront(&a)
}

// refresh makes answers sound of whose processes nothing else was heard, and tells own of the sound runs of its requests.
func (q *requestGuard) refresh(now time.Time, memory time.Duration) {
	q.refreshedAt = now
	for e := q.answerLogs.Back(); e != nil; {
		log, previous := e.Value.(*answerLog), e.Prev()
		if q.confirm(log, now.Add(-quietSound)); len(log.answers) == 0 {
			q.forgetLog(e)
		}
		e = previous
	}
	q.own.RecordSoundRequests(now, q.soundsOf(now, memory, q.own.suspectDigests(now)))
}

// RecordCrashed records that a process crashed with these requests under way, and returns the requests that it had answered shortly
// before it was last heard of. It is to be called for each crash that the entry learns of, also with no request under way: the answers
// of a process of which nothing is heard become sound. Further calls for a process add requests.
func (g *Guard) RecordCrashed(now time.Time, process kwmembership.Process, inFlight []kwid.RequestDigest) []kwid.RequestDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.requests
	var answeredBefore []kwid.RequestDigest
	if e, ok := q.logOf[process]; ok {
		log := e.Value.(*answerLog)
		q.confirm(log, log.lastAt.Add(-outlive))
		q.forgetLog(e)
		q.removeAnswers(log.answers)
		for _, a := range log.answers {
			if !slices.Contains(inFlight, a.digest) && !slices.Contains(answeredBefore, a.digest) {
				answeredBefore = append(answeredBefore, a.digest)
			}
		}
	}
	digests := slices.Concat(inFlight, answeredBefore)
	if slices.ContainsFunc(digests, func(d kwid.RequestDigest) bool { _, ok := q.held[d]; return ok }) {
		q.own.explainCrash(now, process)
		return answeredBefore
	}
	for i, digest := range digests {
		q.own.RecordCrash(now, Evidence{Crash: process, Digest: digest, Answered: i >= len(inFlight)})
	}
	return answeredBefore
}

// RecordStopped records that a process stopped as planned, so that its answers are sound.
func (g *Guard) RecordStopped(process kwmembership.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.requests
	if e, ok := q.logOf[process]; ok {
		log := e.Value.(*answerLog)
		q.confirm(log, log.lastAt)
		q.forgetLog(e)
	}
}

// removeAnswers removes the answers of a process that crashed, the oldest first, from those of the other processes of their chains.
func (q *requestGuard) removeAnswers(crashed []answer) {
	times := make(map[kwid.RequestDigest][]time.Time, len(crashed))
	for _, a := range crashed {
		if !a.abandoned {
			times[a.digest] = append(times[a.digest], a.at)
		}
	}
	for e := q.answerLogs.Front(); e != nil; e = e.Next() {
		log := e.Value.(*answerLog)
		log.answers = slices.DeleteFunc(log.answers, func(a answer) bool {
			of := times[a.digest]
			i, _ := slices.BinarySearchFunc(of, a.at.Add(-sameAnswer), time.Time.Compare)
			return i < len(of) && of[i].Sub(a.at) <= sameAnswer
		})
	}
}

// SoundRequests returns the last sound runs of the suspect and held requests within Memory, sorted, with later answers that are not
// confirmed. Of the entry's own suspects it returns at most maxOwnSounds, those with the most crashes.
func (g *Guard) SoundRequests(now time.Time) []SoundRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.requests
	// The sound runs that clear this entry's suspects are of use to the leader too.
	own := q.own.suspectDigests(now)
	q.refresh(now, g.cfg.Memory)
	digests := make(map[kwid.RequestDigest]struct{}, len(own)+len(q.suspects)+len(q.held))
	for digest := range q.suspects {
		digests[digest] = struct{}{}
	}
	for digest := range q.held {
		digests[digest] = struct{}{}
	}
	own = slices.DeleteFunc(own, func(d kwid.RequestDigest) bool { _, ok := digests[d]; return ok })
	sounds := q.soundsOf(now, g.cfg.Memory, slices.AppendSeq(own, maps.Keys(digests)))
	ownSounds := slices.IndexFunc(sounds, func(s SoundRequest) bool { _, ok := digests[s.Digest]; return ok })
	if ownSounds < 0 {
		ownSounds = len(sounds)
	}
	sounds = slices.Delete(sounds, min(maxOwnSounds, ownSounds), ownSounds)
	slices.SortStableFunc(sounds, func(a, b SoundRequest) int { return compareDigests(a.Digest, b.Digest) })
	return sounds
}

// SoundAge returns how long ago this entry last saw a sound run of a request, for the report of a crash under it; 0 if not within Memory.
func (g *Guard) SoundAge(now time.Time, digest kwid.RequestDigest) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.requests.soundOf[digest]
	if !ok {
		return 0
	}
	if age := now.Sub(e.Value.(*answer).at); age <= g.cfg.Memory {
		return max(age, 1)
	}
	return 0
}

// soundsOf returns the last sound runs of requests within a time, and their last answers that are not confirmed.
func (q *requestGuard) soundsOf(now time.Time, memory time.Duration, digests []kwid.RequestDigest) []SoundRequest {
	if len(digests) == 0 {
		return nil
	}
	unconfirmed := make(map[kwid.RequestDigest]time.Time)
	for e := q.answerLogs.Front(); e != nil; e = e.Next() {
		for _, a := range e.Value.(*answerLog).answers {
			if !a.abandoned && a.at.After(unconfirmed[a.digest]) {
				unconfirmed[a.digest] = a.at
			}
		}
	}
	var sounds []SoundRequest
	for _, digest := range digests {
		if at, ok := unconfirmed[digest]; ok {
			sounds = append(sounds, SoundRequest{Digest: digest, Age: max(now.Sub(at), 0), Unconfirmed: true})
		}
		e, ok := q.soundOf[digest]
		if !ok {
			continue
		}
		if age := max(now.Sub(e.Value.(*answer).at), 0); age <= memory {
			sounds = append(sounds, SoundRequest{Digest: digest, Age: age})
		}
	}
	return sounds
}

// HeldRequests returns the held requests of the leader's view, sorted, for a new leader to adopt; an entry that is cut off adds those
// that it holds itself.
func (g *Guard) HeldRequests(now time.Time) []HeldRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var held []HeldRequest
	if g.requests.cutOff(now) {
		held = slices.DeleteFunc(g.requests.own.HeldRequests(now), func(h HeldRequest) bool {
			_, ok := g.requests.held[h.Digest]
			return ok
		})
	}
	for digest, h := range g.requests.held {
		held = append(held, HeldRequest{Digest: digest, Remaining: max(h.until.Sub(now), 0), Term: h.term})
	}
	slices.SortFunc(held, compareHeldRequests)
	return held
}

// SuspectRequests returns the suspects of the leader's view, sorted, for a new leader to adopt; an entry that is cut off adds its own.
func (g *Guard) SuspectRequests(now time.Time) []SuspectRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	merged := maps.Clone(g.requests.suspects)
	if g.requests.cutOff(now) {
		for _, s := range g.requests.own.SuspectRequests(now) {
			merged[s.Digest] = mergeSuspects(s, merged[s.Digest])
		}
	}
	return slices.SortedFunc(maps.Values(merged), func(a, b SuspectRequest) int { return compareDigests(a.Digest, b.Digest) })
}
