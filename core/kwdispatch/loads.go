package kwdispatch

import (
	"encoding/binary"
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

// Load is what requests use of an endpoint: KV cache, and slots, which a request takes up only at the first endpoint of its
// chain.
type Load struct {
	Used    kwchainsearch.LayerTokens
	Running int
}

// Loads estimates the load of endpoints from the requests of this entry, which it knows exactly, and from the last report of
// those of all other entries. It is not safe for concurrent use.
type Loads struct {
	own, others map[kwid.EndpointID]Load
	// ownAtReport is the load of this entry's requests when the last report arrived.
	ownAtReport map[kwid.EndpointID]Load
	// entry and reports, the number of reports so far, seed the rounding of shares.
	entry   kwid.NodeID
	reports uint64
	// firstReportAt is when the first report arrived.
	firstReportAt  time.Time
	entriesPerZone int
}

// NewLoads returns Loads without any load for an entry.
func NewLoads(entry kwid.NodeID) *Loads {
	return &Loads{entry: entry, own: make(map[kwid.EndpointID]Load), others: make(map[kwid.EndpointID]Load)}
}

// startupWindow is how long after its first report an entry assumes the other entries of its zone to be as loaded as itself:
// after an outage all may start together with a backlog of requests, before any of them has reported its load.
const startupWindow = time.Second

// ApplyReport replaces the load of all other entries; entriesPerZone is the number of entries that share the endpoints of one
// availability zone.
func (l *Loads) ApplyReport(now time.Time, others map[kwid.EndpointID]Load, entriesPerZone int) {
	if l.firstReportAt.IsZero() {
		l.firstReportAt = now
	}
	l.others, l.ownAtReport = others, maps.Clone(l.own)
	l.entriesPerZone = entriesPerZone
	l.reports++
}

// Withheld returns the free KV cache of a server that this entry leaves to the others until the next report, for a request of a
// size in layer tokens: all but an even share of what was free at the last report. It answers a load near the capacity of a zone,
// where all entries see the same free room in the same report and would fill it many times over; engines refuse what exceeds it.
// If there is room for fewer requests than there are entries, a random part of the entries may use it until the next report.
func (l *Loads) Withheld(now time.Time, server *kwchainsearch.Server, requestSize kwchainsearch.LayerTokens) kwchainsearch.LayerTokens {
	return l.withheld(now, server, requestSize, 0, l.entriesPerZone)
}

// withheld is Withheld for an even share among some entries of what exceeds a reserve.
func (l *Loads) withheld(
	now time.Time, server *kwchainsearch.Server, requestSize, reserve kwchainsearch.LayerTokens, sharers int,
) kwchainsearch.LayerTokens {
	if requestSize <= 0 {
		return 0
	}
	if sharers <= 1 {
		return reserve
	}
	taken := l.own[server.ID].Used - l.ownAtReport[server.ID].Used
	free := server.Capacity - l.Of(now, server.ID).Used
	places := float64(max(0, free+taken-reserve) / requestSize)
	allowed := kwchainsearch.LayerTokens(math.Floor(places/float64(sharers)+l.rounding(server.Zone))) * requestSize
	return max(0, free-max(0, allowed-taken))
}

// rounding returns a number from 0 to 1 that is different for each entry and availability zone, and in each report. It is the same
// for all servers of a zone, so that an entry has a share of either each stage of a chain or none.
func (l *Loads) rounding(zone kwid.AvailabilityZone) float64 {
	h := xxhash.New()
	// A hash.Hash never returns an error from Write.
	_, _ = h.WriteString(string(l.entry))
	_, _ = h.WriteString(string(zone))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, l.reports))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// Of returns the load of an endpoint from all entries.
func (l *Loads) Of(now time.Time, id kwid.EndpointID) Load {
	own, others := l.own[id], l.others[id]
	if now.Sub(l.firstReportAt) < startupWindow {
		others.Used = max(others.Used, own.Used*kwchainsearch.LayerTokens(l.entriesPerZone-1))
		others.Running = max(others.Running, own.Running*(l.entriesPerZone-1))
	}
	return Load{Used: own.Used + others.Used, Running: own.Running + others.Running}
}

// Own returns the load of this entry's requests.
func (l *Loads) Own() map[kwid.EndpointID]Load { return maps.Clone(l.own) }

// Reserve adds the KV cache and the slot of a request on a chain.
func (l *Loads) Reserve(chain kwchainsearch.Chain, tokens float64) { l.add(chain, tokens, 1) }

// Release removes what Reserve added.
func (l *Loads) Release(chain kwchainsearch.Chain, tokens float64) { l.add(chain, tokens, -1) }

func (l *Loads) add(chain kwchainsearch.Chain, tokens float64, sign int) {
	for i, stage := range chain.Stages {
		load := l.own[stage.Endpoint]
		load.Used += kwchainsearch.LayerTokens(float64(sign) * tokens * float64(stage.Layers.Len()))
		if i == 0 {
			load.Running += sign
		}
		if load.Used < 1 && load.Running == 0 {
			delete(l.own, stage.Endpoint)
			continue
		}
		l.own[stage.Endpoint] = load
	}
}
