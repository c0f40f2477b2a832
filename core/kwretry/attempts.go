package kwretry

import "time"

// Attempts counts the attempts of one request, for the decision on another one.
type Attempts struct {
	// Limit is how many attempts may run the request, Extra how many more may be refused by endpoints that have not run it.
	Limit, Extra int
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// Sent counts the attempts that were sent, MayHaveRun those that have ended and may have run the request, and InProgress those
	// that have not ended.
	Sent, MayHaveRun, InProgress int
}

// MayAdd reports whether another attempt may be sent. Attempts in progress count as ones that may have run, so it also decides on
// an attempt beside a silent one: a hedged request, or the move of a stream.
func (a Attempts) MayAdd() bool {
	ran := a.MayHaveRun + a.InProgress
	if ran > 0 && (!a.Repeatable || ran >= a.Limit) {
		return false
	}
	return a.Sent < a.Limit+a.Extra
}

// MaxSoundSilence is how long a sound endpoint may send nothing, not even accept a connection, and then go on.
const MaxSoundSilence = 1500 * time.Millisecond

// hedgeShare is the share of the remaining time after which an attempt is added beside one without an answer. It leaves the added one
// more time than the first one has had.
const hedgeShare = 0.45

// HedgeDelay returns how long an attempt may be without an answer until another one is added beside it. The first answer of the two
// counts, so a slow or silent endpoint costs a retry but no answer.
func HedgeDelay(remaining time.Duration) time.Duration {
	return time.Duration(hedgeShare * float64(remaining))
}
