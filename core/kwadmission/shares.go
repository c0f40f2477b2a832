package kwadmission

import (
	"time"

	"knapweedproxy/core/kwid"
)

// Share is the share of the requests of a class that entries may grant at once, from 0 to 1.
type Share float64

// Version counts the steps of a leader.
type Version uint64

// Row holds the counts of one class of a service at one entry over the last window.
type Row struct {
	Service kwid.ServiceName `cbor:"1,keyasint"`
	// Priority is the declared priority of the class; 0 is the most urgent.
	Priority int `cbor:"2,keyasint,omitempty"`
	Arrivals int `cbor:"3,keyasint,omitempty"`
	Granted  int `cbor:"4,keyasint,omitempty"`
	Rejected int `cbor:"5,keyasint,omitempty"`
	// Waiting is the number of requests that wait at present.
	Waiting int `cbor:"6,keyasint,omitempty"`
	// Withheld is the part of the class that the entry does not grant at once, 1 minus its share; a new leader starts from it.
	Withheld Share `cbor:"7,keyasint,omitempty"`
}

// ClassShare is what the leader allows one class.
type ClassShare struct {
	Priority int   `cbor:"1,keyasint,omitempty"`
	Share    Share `cbor:"2,keyasint,omitempty"`
	// Spare means that no more urgent class is short, so that requests beyond the share may use what capacity is left.
	Spare bool `cbor:"3,keyasint,omitempty"`
}

// ServiceShares is what the leader allows the classes of one service.
type ServiceShares struct {
	Service kwid.ServiceName `cbor:"1,keyasint"`
	Version Version          `cbor:"2,keyasint,omitempty"`
	// Age is the mean age of the reports that the shares are based on.
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
	Classes []ClassShare  `cbor:"4,keyasint,omitempty"`
}

// Config configures the control of shares.
type Config struct {
	// Floor is the least share of a class.
	Floor Share
	// Window is the time over which requests are counted.
	Window time.Duration
	// Short is the rejected part of the requests of a class above which it is short, LongestWait the mean wait above which it is.
	Short       Share
	LongestWait time.Duration
	// Lead is by how much more often a class is rejected than a more urgent one that is short; between Lead and Lead plus Slack the share stays.
	Lead, Slack Share
	// StepInterval is the time between two steps of the shares.
	StepInterval time.Duration
	// Gain is the step down by the missing rejections, MinLower and MaxLower bound it; Raise is the step up.
	Gain, MinLower, MaxLower, Raise Share
}

// DefaultConfig returns the configuration of production entries and leaders. The figures come from the replay in kwdispatch, see
// docs/design/18-admission-by-priority.md.
func DefaultConfig() Config {
	return Config{
		// The least urgent class is to be served a quarter as often as all; some of what is admitted is rejected for lack of room.
		Floor: 0.3,
		// The page of the hard load sets it; a window of 1 s gave no better order.
		Window: 2 * time.Second,
		// Below the 0.05 by which a class may be served less than a less urgent one.
		Short: 0.03,
		// Entries report every 300 ms.
		LongestWait: 300 * time.Millisecond,
		// With a lead of 0.3 up to 0.06 less was served at 370 entries; with none, single replays had a class 0.07 behind.
		Lead: 0.1, Slack: 0.05,
		// Reports are 200 to 500 ms old, so the next step sees the effect of the last.
		StepInterval: 600 * time.Millisecond,
		// With a gain of 0.5 bursts of 2 s were over before the shares had followed, with 2 more was lost.
		Gain: 1, MinLower: 0.05, MaxLower: 0.35, Raise: 0.05,
	}
}
