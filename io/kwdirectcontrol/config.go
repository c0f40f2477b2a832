package kwdirectcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
)

// Config holds the settings of a hub.
type Config struct {
	// Address is where other processes reach this one; it names the VM in member ids.
	Address string
	// Seeds are the addresses of control processes to begin with.
	Seeds []string
	// Bootstrap means that the whole fleet starts for the first time, so that the seeds found it.
	Bootstrap bool
	// DataFolder is empty on a VM without a disk, where the hub relays to the leader.
	DataFolder string
	// ToleratedFailures is how many members may be lost at the same time.
	ToleratedFailures int
	// Heartbeat is the usual time between two heartbeats of an endpoint.
	Heartbeat time.Duration
	// RetryBudget bounds what is lent of the fleet's retry budget.
	RetryBudget kwretry.LenderConfig
}

const (
	// leaseBeats is how many missed heartbeats make an endpoint lost: heartbeats may come seconds late, and entries
	// turn away from a dead endpoint by themselves much sooner.
	leaseBeats = 4
	// keepGone is how long endpoints that left are remembered, against heartbeats that a partition held back.
	keepGone = 2 * time.Minute
	// callTimeout bounds a call to the leader; callers give up after a second and ask another process.
	callTimeout = 900 * time.Millisecond
	// declareTimeout is longer, since a large declaration takes its time on slow disks.
	declareTimeout = 1500 * time.Millisecond
	// electionMin is the shortest time without a leader before an election: above two lost packets between availability
	// zones, and short since nothing is served without a leader after all processes have stopped.
	electionMin = 600 * time.Millisecond
	// logHeartbeat leaves room for four lost heartbeats before an election.
	logHeartbeat = 120 * time.Millisecond
	// memberSilence is how long a voter may be unheard before another replaces it: above an election and a reconnect.
	memberSilence = 2500 * time.Millisecond
	// memberForget is how long a learner may be unheard before it is dropped.
	memberForget = 20 * time.Second
	// memberGather is how long a leader waits for more members before it confirms for the first time with fewer than wanted:
	// several rounds of joining, and short against the time in which an operator expects its first confirmation.
	memberGather = 4 * time.Second
	// stewardPeriod is the time between two looks at the membership.
	stewardPeriod = 200 * time.Millisecond
	// compactEntries is small since each entry may hold a whole declaration.
	compactEntries = 200
	// entryLease is how long an entry counts after its last watch.
	entryLease = 3 * time.Second
	// retryOpen is the pause before a data folder that could not be opened is tried again.
	retryOpen = 500 * time.Millisecond
)

// Decoder reads a declaration in the adapter's encoding and checks it.
type Decoder interface {
	Decode(content []byte) (*kwdeclaration.Declaration, error)
}

// OrderResult tells what an engine did with an order.
type OrderResult string

// Results of orders.
const (
	// OrderBegun means that the engine is carrying the order out.
	OrderBegun OrderResult = "begun"
	// OrderDone means that the state ordered already holds.
	OrderDone OrderResult = "done"
	// OrderConflict means that the engine has taken other orders than the sender knows of.
	OrderConflict OrderResult = "conflict"
)

// EngineState is what an engine says of its orders.
type EngineState struct {
	// OrderCount counts the orders that the engine has accepted since its start.
	OrderCount uint64
	Busy       bool
	Layers     kwid.LayerRange
}

// EngineClient gives orders to model servers.
type EngineClient interface {
	// Place orders layers if the engine has accepted just as many orders as given before; an error means that the
	// order may still be carried out.
	Place(ctx context.Context, address string, layers kwid.LayerRange, orders uint64) (OrderResult, error)
	// State reads how many orders an engine has accepted.
	State(ctx context.Context, address string) (EngineState, error)
}

// Deps holds what the process hands down.
type Deps struct {
	Events  *kwevent.Emitter
	Decoder Decoder
	Engines EngineClient
	// Now is the clock of leases.
	Now func() time.Time
}

func (c Config) founder() bool {
	if !c.Bootstrap {
		return false
	}
	for _, s := range c.Seeds {
		if s == c.Address {
			return true
		}
	}
	return false
}

func (c Config) founders() []kwid.NodeID {
	var out []kwid.NodeID
	for _, s := range c.Seeds {
		out = append(out, kwcontrol.InitialMemberID(kwid.NodeID(s)))
	}
	return out
}

func (c Config) timing() kwcontrol.Timing {
	t := kwcontrol.DefaultTiming()
	t.EntryLease = entryLease
	t.GatherPeriod = 2 * c.Heartbeat
	return t
}

func (c Config) roster() kwmembership.RosterConfig {
	return kwmembership.RosterConfig{Lease: leaseBeats * c.Heartbeat, Retention: keepGone}
}

func (c Config) steward() kwraft.Autopilot {
	return kwraft.Autopilot{
		TargetVoters:     2*c.ToleratedFailures + 1,
		VMOf:             kwcontrol.NodeOf,
		VoterTimeout:     memberSilence,
		LearnerTimeout:   memberForget,
		BootstrapTimeout: memberGather,
	}
}

func stateConfig() kwstatemachine.Config {
	cfg := kwstatemachine.DefaultConfig()
	cfg.MaxJournalRows = 0
	cfg.RetentionMillis = keepGone.Milliseconds()
	return cfg
}
