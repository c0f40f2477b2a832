package kwdirectcontrol

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwclient"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
)

// Config holds the settings of a control process.
type Config struct {
	// Address is where other processes reach this one; member IDs contain it to identify the VM.
	Address string
	// Seeds are the addresses of the initially known control processes.
	Seeds []string
	// Bootstrap means that the whole fleet starts for the first time, with the seeds as its initial members.
	Bootstrap bool
	// DataFolder holds the replicated log; it is empty on a VM without a disk, whose server only forwards calls to the
	// leader.
	DataFolder string
	// DiskBytes is the size of the disk that holds the data folder, 0 if unknown.
	DiskBytes int64
	// ToleratedFailures is how many members may fail at the same time.
	ToleratedFailures int
	// Heartbeat is the usual interval between heartbeats of an endpoint.
	Heartbeat time.Duration
	// RetryBudget limits the retries that entries may borrow from the fleet's budget.
	RetryBudget kwretry.LenderConfig
	// Capacity is what the process has for the calls of other processes.
	Capacity kwclient.Capacity
}

const (
	// leaseHeartbeats is how many missed heartbeats make an endpoint lost. Heartbeats may arrive seconds late, and entries
	// stop using a dead endpoint much sooner on their own.
	leaseHeartbeats = 4
	// suspectLeaseHeartbeats is how many missed heartbeats make an endpoint lost that several entries cannot reach. A copy of a
	// model stops without each of its endpoints, so that its layers are needed elsewhere soon.
	suspectLeaseHeartbeats = 1.3
	// maxHeartbeatDelay is how long a heartbeat may take to reach the leader: its sender may have to try another control process,
	// and a lost packet is sent again after 200 ms.
	maxHeartbeatDelay = 500 * time.Millisecond
	// goneRetention is how long endpoints that left are remembered, so that heartbeats which a partition delayed do not
	// revive them.
	goneRetention = 2 * time.Minute
	// callTimeout bounds a call to the leader; callers time out after a second and ask another process.
	callTimeout = 900 * time.Millisecond
	// declareTimeout is longer than callTimeout, since writing a large declaration to a slow disk takes time.
	declareTimeout = 1500 * time.Millisecond
	// minElectionTimeout is the shortest time without a leader before an election. It allows for two lost packets between
	// availability zones, and is short since a fleet that restarts as a whole serves nothing until it has a leader.
	minElectionTimeout = 600 * time.Millisecond
	// raftHeartbeat is the interval between a leader's heartbeats; four may be lost before an election.
	raftHeartbeat = 120 * time.Millisecond
	// voterTimeout is how long a voter may be silent before another member replaces it: longer than an election and a
	// reconnect.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 20 * time.Second
	// bootstrapTimeout is how long a new fleet's leader waits for more members to join before its first commit with fewer
	// voters than wanted. It covers several join attempts, and is short against the time in which an operator expects the
	// first confirmation.
	bootstrapTimeout = 4 * time.Second
	// membershipInterval is the interval between membership checks.
	membershipInterval = 200 * time.Millisecond
	// compactionEntries is the number of log entries between compactions; it is small since each entry may hold a whole
	// declaration.
	compactionEntries = 200
	// compactionDiskParts leaves room on the disk for the old and the new snapshot, and for the entries of a slow compaction.
	compactionDiskParts = 4
	// entryLease is how long an entry process counts as live after its last watch.
	entryLease = 3 * time.Second
	// openRetryDelay is the delay before another attempt to open the data folder.
	openRetryDelay = 500 * time.Millisecond
)

// Decoder decodes a declaration from the platform adapter's encoding and validates it.
type Decoder interface {
	Decode(content []byte) (*kwdeclaration.Declaration, error)
}

// OrderResult is how an engine responded to an order.
type OrderResult string

// Results of orders.
const (
	// OrderBegun means that the engine has started to execute the order.
	OrderBegun OrderResult = "begun"
	// OrderDone means that the engine already holds the ordered layers.
	OrderDone OrderResult = "done"
	// OrderConflict means that the engine has accepted orders that the sender does not know of, and rejects this one.
	OrderConflict OrderResult = "conflict"
)

// EngineState is an engine's report of the orders that it has accepted.
type EngineState struct {
	// OrderCount counts the orders that the engine has accepted since its start.
	OrderCount uint64
	// Busy means that the engine is still executing an order.
	Busy bool
	// Layers is the range that the engine holds.
	Layers kwid.LayerRange
	// Leaving means that the endpoint drains before a planned stop.
	Leaving bool
}

// OrderReply is an engine's response to an order; Leaving means that the endpoint drains before a planned stop.
type OrderReply struct {
	Result  OrderResult
	Leaving bool
}

// EngineClient sends orders to the engines of model servers. Another endpoint may have got the address of one since: it refuses the calls, which
// name the endpoint that they are for.
type EngineClient interface {
	// Place orders an engine to hold a range of layers. The engine rejects the order with OrderConflict unless it has
	// accepted exactly orderCount orders so far. After an error the order may still be executed, and Leaving may be set.
	Place(ctx context.Context, endpoint kwid.EndpointID, address string, layers kwid.LayerRange, orderCount uint64) (OrderReply, error)
	// State returns the number of orders that an engine has accepted and what it is doing. After an error Leaving may be set.
	State(ctx context.Context, endpoint kwid.EndpointID, address string) (EngineState, error)
}

// Deps holds the dependencies that the process provides.
type Deps struct {
	Events  *kwevent.Emitter
	Metrics metrics.Registry
	Decoder Decoder
	Engines EngineClient
	// Now is the clock of leases.
	Now func() time.Time
}

func (c Config) isInitialMember() bool {
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

func (c Config) initialMemberIDs() []kwid.NodeID {
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

func (c Config) rosterConfig() kwmembership.RosterConfig {
	// An endpoint may fall silent just before a heartbeat is due, which it sends when it goes on.
	leastLease := c.Heartbeat + kwretry.MaxSoundSilence + maxHeartbeatDelay
	return kwmembership.RosterConfig{
		Lease:        max(leaseHeartbeats*c.Heartbeat, leastLease),
		SuspectLease: max(time.Duration(suspectLeaseHeartbeats*float64(c.Heartbeat)), leastLease),
		Retention:    goneRetention,
	}
}

func (c Config) autopilot() kwraft.Autopilot {
	return kwraft.Autopilot{
		TargetVoters:     2*c.ToleratedFailures + 1,
		VMOf:             kwcontrol.NodeOf,
		VoterTimeout:     voterTimeout,
		LearnerTimeout:   learnerTimeout,
		BootstrapTimeout: bootstrapTimeout,
	}
}

func stateMachineConfig() kwstatemachine.Config {
	cfg := kwstatemachine.DefaultConfig()
	cfg.MaxJournalRows = 0
	cfg.RetentionMillis = goneRetention.Milliseconds()
	return cfg
}
