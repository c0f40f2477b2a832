package kwquarantine

import (
	"maps"
	"sync"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// Config configures a Registry.
type Config struct {
	// MinCrashes is how many processes have to crash under a part or a request.
	MinCrashes int
	// MinOtherCrashes is how many processes have to crash under a part without a request that crashes servers by itself.
	MinOtherCrashes int
	// MinSpread is the least time between the first and the last of the crashes that a decision needs. Servers that crash together
	// for another reason end many requests at one moment, and rare parts of them are not served again soon.
	MinSpread time.Duration
	// Settle is the time before a decision in which entries report sound requests. It begins with the report of the first one of any
	// kind after the last crash that the decision needs.
	Settle time.Duration
	// RequestSettle is the time after the last crash that the decision on a request needs, in which entries report crashes.
	RequestSettle time.Duration
	// RequestSpread stands for MinSpread in decisions on requests.
	RequestSpread time.Duration
	// AnsweredSpread stands for RequestSpread if the request was answered within Memory: popular requests are on many of the servers
	// that crash together, and some of these crashes are noticed late.
	AnsweredSpread time.Duration
	// DoubtSettle stands for RequestSettle if the request was answered within Memory, or if another one was on all of its crashes but
	// one: it may have been on the servers by chance, and its last sound run is still to be reported.
	DoubtSettle time.Duration
	// Memory is how long crashes and sound requests count.
	Memory time.Duration
	// FirstTerm is the term of a first quarantine of a part, and FirstRequestTerm that of a request; failed trials double them up to
	// MaxTerm.
	FirstTerm        time.Duration
	FirstRequestTerm time.Duration
	MaxTerm          time.Duration
	// TrialTimeout is the time after which a trial without a result is repeated.
	TrialTimeout time.Duration
	// IdleExpiry is how long a quarantine outlasts its term when no request asks for a trial.
	IdleExpiry time.Duration
}

// DefaultConfig quarantines a part after 3 crashes that no single request explains, for 30 s at first, and holds a request after 3
// crashes, for 1 min at first; both for at most 1 h.
func DefaultConfig() Config {
	return Config{
		MinCrashes:       3,
		MinOtherCrashes:  2,
		MinSpread:        200 * time.Millisecond,
		Settle:           700 * time.Millisecond,
		RequestSettle:    200 * time.Millisecond,
		RequestSpread:    400 * time.Millisecond,
		AnsweredSpread:   time.Second,
		DoubtSettle:      time.Second,
		Memory:           time.Minute,
		FirstTerm:        30 * time.Second,
		FirstRequestTerm: time.Minute,
		MaxTerm:          time.Hour,
		TrialTimeout:     30 * time.Second,
		IdleExpiry:       time.Hour,
	}
}

const (
	// maxCrashes is the number of crashes that a Registry keeps; beyond it the oldest is forgotten.
	maxCrashes = 1024
	// maxSuspects is the number of parts that a Registry keeps; beyond it the one whose latest crash is oldest is forgotten.
	maxSuspects = 512
	// maxCrashesPerPart is the number of crashes kept per part. Beyond it the oldest that no decision needs is forgotten.
	maxCrashesPerPart = 256
	// maxPartsPerEvidence is the number of parts of a request that count; those after them are ignored.
	maxPartsPerEvidence = 64
	// maxPartsPerCrash is the number of parts of all requests that a crash ended; those recorded later are ignored.
	maxPartsPerCrash = 512
	// maxPromptsPerCrash is the number of requests with parts that a Registry keeps of each crash.
	maxPromptsPerCrash = 64
	// maxDigestsPerPartCrash is the number of requests that a Registry keeps for each crash under a part.
	maxDigestsPerPartCrash = 8
	// maxDigestsPerCrash is the number of requests of a crash that count; those recorded later are ignored, except that twice as many
	// count in all if they are on other crashes. Half of them may be requests that were answered before the crash.
	maxDigestsPerCrash = 512
	// maxSuspectRequests is the number of requests that a Registry keeps, and maxRequestCrashes the number of crashes under all of
	// them; beyond either those with the fewest crashes are forgotten.
	maxSuspectRequests = 16384
	maxRequestCrashes  = 32768
	// maxRequestsInView is the number of suspect requests in a view: those with the most crashes.
	maxRequestsInView = 128
	// maxSuspectProcesses is the number of crashed processes in a view for each suspect request.
	maxSuspectProcesses = 3
	// shareTime is the time about a crash in which a request has to be on one in minShare crashes, for the crash to count against it.
	shareTime = 300 * time.Millisecond
	minShare  = 3
	// answeredHandicap is how many more crashes an answered request needs to go before one that nobody has seen answered. It is also the
	// most that crashes without an answered request add to those that it needs to be held: simulated popular requests were on three of
	// four crashes of other causes.
	answeredHandicap = 2
	// minCrashesSinceHold is how many servers have to crash under a request, after one that was on the same crashes is held, for these to
	// count against it again. One crash of another cause happens to be under many of the requests that ran next to the held one.
	minCrashesSinceHold = 2
	// confirmTime is the time after an answer in which it is confirmed, by the next answer of its server.
	confirmTime = 1500 * time.Millisecond
	// maxHeldRequests is the number of held requests; beyond it the one whose term ends first is released.
	maxHeldRequests = 128
	// maxQuarantined is the number of quarantined parts; beyond it the one whose term ends first is released.
	maxQuarantined = 128
	// evidenceDelay is the time in which all entries report the requests that a crash has ended. Sound requests from before the
	// crash may be dated this much after it, by as long as their reports take.
	evidenceDelay = 200 * time.Millisecond
	// minOutage is the time without any sound request after which a decision needs another crash.
	minOutage = 2 * time.Second
	// sweepInterval is the time between two searches for parts without crashes whose sound requests are too old to count.
	sweepInterval = time.Second
)

// Registry is the leader's record of crashes, from which it decides on quarantines. It is safe for concurrent use.
type Registry struct {
	mu  sync.Mutex
	cfg Config
	// crashes holds the remembered crashes in the order of their first evidence.
	crashes     []*crashState
	crashOf     map[kwmembership.Process]*crashState
	parts       map[kwid.PromptPartID]*partState
	quarantined map[kwid.PromptPartID]*quarantineState
	lifted      map[kwid.PromptPartID]liftedState
	// requests holds the requests under which servers crashed, but for those in heldRequests, and requestCrashes the number of
	// their crashes.
	requests         map[kwid.RequestDigest]*requestState
	requestCrashes   int
	heldRequests     map[kwid.RequestDigest]*requestState
	releasedRequests map[kwid.RequestDigest]liftedState
	// suspectRequests caches the result of SuspectRequests; requestsValid is false after a change.
	suspectRequests []SuspectRequest
	requestsValid   bool
	// servedAt is the latest sound request of any kind.
	servedAt time.Time
	// suspects caches the result of Suspects; suspectsValid is false after a change.
	suspects      []kwid.PromptPartID
	suspectsValid bool
	// evaluateAt is when a part may next qualify without further evidence, if evaluateLater is set.
	evaluateAt    time.Time
	evaluateLater bool
	// handoverUntil is when a new leader begins to decide, zero if nothing was reported to an earlier one.
	handoverUntil time.Time
	// newEvidence and changed say what has happened since the last Decide.
	newEvidence bool
	changed     bool
	// sweptAt is when parts without crashes were last forgotten.
	sweptAt time.Time
}

// NewRegistry returns a Registry without crashes, quarantines and held requests.
func NewRegistry(cfg Config) *Registry {
	r := &Registry{cfg: cfg}
	r.reset()
	return r
}

// Reset forgets all crashes, quarantines and held requests.
func (r *Registry) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
}

func (r *Registry) reset() {
	r.changed = len(r.quarantined) > 0 || len(r.heldRequests) > 0
	r.crashes = nil
	r.crashOf = make(map[kwmembership.Process]*crashState)
	r.parts = make(map[kwid.PromptPartID]*partState)
	r.quarantined = make(map[kwid.PromptPartID]*quarantineState)
	r.lifted = make(map[kwid.PromptPartID]liftedState)
	r.requests, r.requestCrashes = make(map[kwid.RequestDigest]*requestState), 0
	r.heldRequests = make(map[kwid.RequestDigest]*requestState)
	r.releasedRequests = make(map[kwid.RequestDigest]liftedState)
	r.servedAt, r.handoverUntil = time.Time{}, time.Time{}
	r.suspectsValid, r.requestsValid, r.evaluateLater, r.newEvidence = false, false, false, false
}

// forget removes what is too old to count.
func (r *Registry) forget(now time.Time) {
	for len(r.crashes) > 0 && now.Sub(r.crashes[0].recordedAt) > r.cfg.Memory {
		r.forgetOldestCrash()
	}
	if now.Sub(r.sweptAt) >= sweepInterval {
		r.sweptAt = now
		maps.DeleteFunc(r.parts, func(_ kwid.PromptPartID, p *partState) bool {
			return len(p.crashes) == 0 && now.Sub(p.soundAt) > r.cfg.Memory
		})
		r.forgetRequests(now)
	}
	for part, q := range r.quarantined {
		idleSince := q.until
		if q.trialAt.After(idleSince) {
			idleSince = q.trialAt
		}
		if now.Sub(idleSince) > r.cfg.IdleExpiry {
			delete(r.quarantined, part)
			r.suspectsValid, r.changed = false, true
		}
	}
	r.forgetHeldRequests(now)
	for part, l := range r.lifted {
		// A crash counts for Memory, and one within Memory of the end of a quarantine doubles the term.
		if now.Sub(l.liftedAt) > 2*r.cfg.Memory {
			delete(r.lifted, part)
		}
	}
}
