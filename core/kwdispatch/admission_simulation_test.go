package kwdispatch

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// replayClass is a request class of the replayed loads; its index is its priority.
type replayClass struct {
	name      string
	part      float64
	objective time.Duration
}

var replayClasses = []replayClass{
	{"live-hint", 0.5, 500 * time.Millisecond},
	{"code-review", 0.3, 600 * time.Millisecond},
	{"night-feedback", 0.2, 1200 * time.Millisecond},
}

// span is a time of a replay, from its start.
type span struct{ from, to time.Duration }

func (s span) holds(t time.Duration) bool { return t >= s.from && t < s.to }

// admissionLoad is a load whose classes compete for capacity.
type admissionLoad struct {
	name string
	// utilization is the arriving load as a share of what the whole fleet serves.
	utilization float64
	// burst multiplies the arrivals of the most urgent class.
	burst      float64
	bursts     []span
	lost       span // the time without one fast copy
	leaderLost span
	cutOff     span // the time in which a third of the entries hears nothing
}

const (
	replayTime  = 11 * time.Second
	replayZones = 3
	// zoneRate is the rate of requests that a zone of the fleet serves.
	zoneRate = simulatedRate / 5
	// callerPatience is how long callers wait for the first event of a stream.
	callerPatience = 2 * time.Second
)

var admissionLoads = []admissionLoad{
	{
		name: "bursts beside a lost copy", utilization: 0.85, burst: 2,
		bursts: []span{{2 * time.Second, 4 * time.Second}, {6 * time.Second, 9 * time.Second}}, lost: span{3 * time.Second, 8 * time.Second},
	},
	{
		name: "leader lost", utilization: 1.3, burst: 1.6,
		bursts: []span{{4 * time.Second, 7 * time.Second}}, leaderLost: span{3 * time.Second, 8 * time.Second},
	},
	{
		name: "entries cut off", utilization: 1.2, burst: 1.6,
		bursts: []span{{4 * time.Second, 7 * time.Second}}, cutOff: span{3 * time.Second, 8 * time.Second},
	},
	{name: "lasting overload", utilization: 1.35},
}

// admissionWay is a way of admission control that is replayed; the zero way has none.
type admissionWay struct {
	name string
	on   bool
	// leaderOff means that entries go by their own counts alone.
	leaderOff bool
	cfg       kwadmission.Config
}

// admissionResult counts the callers of each class and those that were served, and holds the shares that the leader gave.
type admissionResult struct {
	callers, served [3]int
	// comebacks counts the callers that came back at the promised time, refusedBack those of them that were rejected again.
	comebacks, refusedBack int
	shares                 [][]kwadmission.ClassShare
}

func (a admissionResult) share(class int) float64 {
	return float64(a.served[class]) / float64(max(1, a.callers[class]))
}

func (a admissionResult) total() float64 {
	return float64(a.served[0]+a.served[1]+a.served[2]) / float64(a.callers[0]+a.callers[1]+a.callers[2])
}

// behind returns by how much a class was served less than a less urgent one, or a negative number.
func (a admissionResult) behind() float64 {
	return max(a.share(1)-a.share(0), a.share(2)-a.share(0), a.share(2)-a.share(1))
}

func (a *admissionResult) add(b admissionResult) {
	for i := range a.callers {
		a.callers[i] += b.callers[i]
		a.served[i] += b.served[i]
	}
	a.comebacks += b.comebacks
	a.refusedBack += b.refusedBack
}

// replayFleet returns the servers of the first zones.
func replayFleet() Fleet {
	f := zonedFleet()
	f.Servers = slices.DeleteFunc(f.Servers, func(s kwchainsearch.Server) bool {
		return s.Zone >= kwid.AvailabilityZone(fmt.Sprint("z", replayZones))
	})
	return f
}

type admissionReplay struct {
	*simulation
	load   admissionLoad
	way    admissionWay
	rng    *rand.Rand
	start  time.Time
	gates  []*kwadmission.Gate
	tally  *kwadmission.Tally
	epoch  uint64
	result admissionResult
	// total is the sum of what the entries have reported.
	total map[kwid.EndpointID]Load
	sum   float64
	// cumulative are the sums of the weights of the entries.
	cumulative []float64
}

func replayAdmission(entries int, load admissionLoad, way admissionWay, seed uint64) admissionResult {
	start := time.Unix(1000, 0)
	s := &simulation{
		now: start, fleet: replayFleet(), servers: make(map[kwid.EndpointID]*simServer),
		outcome: outcome{bySize: make(map[float64]int), servedBySize: make(map[float64]int)},
	}
	s.entriesPerZone = (entries + replayZones - 1) / replayZones
	p := &admissionReplay{
		simulation: s, load: load, way: way, rng: rand.New(rand.NewPCG(seed, uint64(entries))), start: start, epoch: 1,
		tally: kwadmission.NewTally(way.cfg), total: make(map[kwid.EndpointID]Load),
	}
	for _, server := range s.fleet.Servers {
		s.servers[server.ID] = &simServer{Server: server, freeAt: start}
	}
	for i := range entries {
		e := &simEntry{paused: make(map[kwid.EndpointID]time.Time), waiting: make(map[*kwqueue.Waiter]*simRequest)}
		cfg := Config{
			Entry: kwid.NodeID(fmt.Sprint("e", i)), Zone: kwid.AvailabilityZone(fmt.Sprint("z", i%replayZones)), Queue: kwqueue.DefaultConfig(),
			Unavailable: func(now time.Time, id kwid.EndpointID) bool { return now.Before(e.paused[id]) },
		}
		if way.on {
			gateCfg := kwadmission.DefaultGateConfig(cfg.Entry)
			gateCfg.Control = way.cfg
			gate := kwadmission.NewGate(gateCfg)
			gate.SetServices(map[kwid.ServiceName][]int{"": {0, 1, 2}})
			cfg.Admission = gate
			p.gates = append(p.gates, gate)
		}
		e.dispatcher = New(cfg)
		e.dispatcher.Loads().ApplyReport(start.Add(-time.Hour), nil, s.entriesPerZone)
		s.entries = append(s.entries, e)
		phase := time.Duration(p.rng.Int64N(int64(reportInterval)))
		s.every(start.Add(phase), start.Add(replayTime), func() { p.report(i) })
		p.sum += 0.3 + p.rng.ExpFloat64()
		p.cumulative = append(p.cumulative, p.sum)
	}
	for class := range replayClasses {
		p.addArrivals(class)
	}
	p.at(start.Add(load.lost.from), func() { p.setLost("z0", load.lost.to > 0) })
	p.at(start.Add(load.lost.to), func() { p.setLost("z0", false) })
	p.at(start.Add(load.leaderLost.to), func() { p.epoch++ })
	for len(p.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return p.result
}

// setLost takes the fast copy of a zone away or brings it back.
func (p *admissionReplay) setLost(zone kwid.AvailabilityZone, lost bool) {
	p.fleet.Servers = nil
	for _, server := range replayFleet().Servers {
		s := p.servers[server.ID]
		s.gone = lost && server.Zone == zone && server.PrefillTimeFactor < 5
		if !s.gone {
			p.fleet.Servers = append(p.fleet.Servers, server)
		}
	}
}

func (p *admissionReplay) addArrivals(class int) {
	for t := p.start; t.Before(p.start.Add(replayTime)); {
		rate := p.load.utilization * zoneRate * replayZones * replayClasses[class].part
		if class == 0 && slices.ContainsFunc(p.load.bursts, func(s span) bool { return s.holds(t.Sub(p.start)) }) {
			rate *= p.load.burst
		}
		t = t.Add(time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second)))
		p.at(t, func() {
			p.result.callers[class]++
			p.attempt(class, p.now.Add(callerPatience), 0, false)
		})
	}
}

// attempt has a caller reach an entry, once more after a rejection.
func (p *admissionReplay) attempt(class int, deadline time.Time, returns int, promised bool) {
	i, _ := slices.BinarySearch(p.cumulative, p.rng.Float64()*p.sum)
	r := &simRequest{Request: request(p.now), entry: p.entries[i], arrived: p.now}
	r.Size = kwchainsearch.RequestSize{TotalTokens: 950, PromptTokens: 750}
	r.FirstEventObjective = replayClasses[class].objective
	r.FirstEventTimeout = 2 * r.FirstEventObjective
	r.DeclaredPriority, r.Deadline = class, deadline
	r.Excluded = make(map[kwid.EndpointID]bool)
	r.onServed = func() {
		if p.now.Before(deadline) {
			p.result.served[class]++
		}
	}
	r.onRejected = func(after time.Duration) {
		longest := deadline.Sub(p.now) / 3
		if returns > 0 {
			if promised {
				p.result.refusedBack++
			}
			return
		}
		if after <= longest {
			p.result.comebacks++
		}
		p.at(p.now.Add(min(after, longest)), func() { p.attempt(class, deadline, returns+1, after <= longest) })
	}
	p.dispatch(r)
}

// report exchanges the load and the counts of an entry with the leader, with a delay each way.
func (p *admissionReplay) report(i int) {
	since := p.now.Sub(p.start)
	if p.load.leaderLost.holds(since) || p.load.cutOff.holds(since) && i%3 == 0 {
		return
	}
	delay := func() time.Duration {
		return 50*time.Millisecond + time.Duration(p.rng.Int64N(int64(100*time.Millisecond)))
	}
	e := p.entries[i]
	loads := e.dispatcher.Loads().Own()
	var rows []kwadmission.Row
	if p.way.on {
		rows = p.gates[i].Rows(p.now)
	}
	p.at(p.now.Add(delay()), func() {
		addLoads(p.total, e.reported, -1)
		others := maps.Clone(p.total)
		addLoads(p.total, loads, 1)
		e.reported = loads
		var shares []kwadmission.ServiceShares
		if p.way.on && !p.way.leaderOff {
			p.tally.Record(p.now, p.epoch, kwid.NodeID(fmt.Sprint("e", i)), rows)
			shares = p.tally.Shares(p.now, p.epoch)
		}
		p.at(p.now.Add(delay()), func() {
			e.dispatcher.Loads().ApplyReport(p.now, others, p.entriesPerZone)
			if p.way.on {
				p.gates[i].Apply(p.now, shares)
				if i == 0 && len(shares) > 0 {
					p.result.shares = append(p.result.shares, shares[0].Classes)
				}
			}
			p.wake(e)
		})
	})
}

func addLoads(total, loads map[kwid.EndpointID]Load, sign int) {
	for id, l := range loads {
		sum := total[id]
		total[id] = Load{Used: sum.Used + kwchainsearch.LayerTokens(sign)*l.Used, Running: sum.Running + sign*l.Running}
	}
}

// swings returns the largest range of a share in the second half of a replay, and how often one turned there.
func swings(series [][]kwadmission.ClassShare) (swing kwadmission.Share, turns int) {
	series = series[len(series)/2:]
	for class := range replayClasses {
		low, high, direction := kwadmission.Share(1), kwadmission.Share(0), kwadmission.Share(0)
		for i := range series {
			share := series[i][class].Share
			low, high = min(low, share), max(high, share)
			if i == 0 || share == series[i-1][class].Share {
				continue
			}
			step := share - series[i-1][class].Share
			if step*direction < 0 {
				turns++
			}
			direction = step
		}
		swing = max(swing, high-low)
	}
	return swing, turns
}

const (
	// maxBehind is by how much a class may be served less than a less urgent one.
	maxBehind = 0.05
	// maxLoss is by how much the total served may fall, on the average of the numbers of entries; single replays differ by up to maxLossHere
	// from one seed to the next.
	maxLoss, maxLossHere = 0.01, 0.03
	// maxTurns is how often shares may turn in the second half of a replay, in which there are 9 steps.
	maxTurns = 5
)

// testAdmission guards against an overload in which more urgent requests are rejected at some entries while others serve less urgent ones,
// and against capacity that is left unused for the sake of the order.
func testAdmission(t *testing.T, load admissionLoad) {
	sizes := []int{8, 22, 70, 370}
	loss := 0.0
	for _, entries := range sizes {
		today := replayAdmission(entries, load, admissionWay{}, 1)
		got := replayAdmission(entries, load, admissionWay{on: true, cfg: kwadmission.DefaultConfig()}, 1)
		swing, turns := swings(got.shares)
		t.Logf("%d entries: served %.3f %.3f %.3f, of all %.3f; without %.3f %.3f %.3f, of all %.3f; swing %.2f, %d turns", entries,
			got.share(0), got.share(1), got.share(2), got.total(), today.share(0), today.share(1), today.share(2), today.total(), swing, turns)
		if behind := got.behind(); behind > maxBehind {
			t.Errorf("%d entries: got a class served %.3f less than a less urgent one, want %.2f at most", entries, behind, maxBehind)
		}
		if least := got.share(2); least < got.total()/4 {
			t.Errorf("%d entries: got %.3f of the least urgent class served, want a quarter of %.3f", entries, least, got.total())
		}
		if got.total() < today.total()-maxLossHere {
			t.Errorf("%d entries: got %.3f served, want %.3f as without admission control", entries, got.total(), today.total())
		}
		if turns > maxTurns {
			t.Errorf("%d entries: got %d turns of shares, want %d at most", entries, turns, maxTurns)
		}
		loss += (today.total() - got.total()) / float64(len(sizes))
	}
	if loss > maxLoss {
		t.Errorf("got %.3f less served than without admission control, want %.2f at most", loss, maxLoss)
	}
}

func TestAdmissionInBursts(t *testing.T)        { testAdmission(t, admissionLoads[0]) }
func TestAdmissionWithoutLeader(t *testing.T)   { testAdmission(t, admissionLoads[1]) }
func TestAdmissionOfCutOffEntries(t *testing.T) { testAdmission(t, admissionLoads[2]) }
func TestAdmissionUnderOverload(t *testing.T)   { testAdmission(t, admissionLoads[3]) }

var admissionWays = flag.Bool("admission-ways", false, "compare ways of admission control, for docs/design/18-admission-by-priority.md")

// TestAdmissionWays prints the table of the design note.
func TestAdmissionWays(t *testing.T) {
	if !*admissionWays {
		t.Skip("prints a table; -admission-ways runs it")
	}
	threshold := kwadmission.DefaultConfig()
	threshold.MinLower, threshold.MaxLower, threshold.Raise = 1, 1, 1
	ways := []admissionWay{
		{name: "none"},
		{name: "threshold of the leader", on: true, cfg: threshold},
		{name: "shares of the leader", on: true, cfg: kwadmission.DefaultConfig()},
		{name: "each entry alone", on: true, leaderOff: true, cfg: kwadmission.DefaultConfig()},
	}
	for _, load := range admissionLoads {
		for _, entries := range []int{8, 22, 70, 370} {
			for _, way := range ways {
				var sum admissionResult
				worst, turns := -1.0, 0
				for seed := range uint64(4) {
					r := replayAdmission(entries, load, way, seed+1)
					sum.add(r)
					worst = max(worst, r.behind())
					_, turned := swings(r.shares)
					turns = max(turns, turned)
				}
				fmt.Printf("| %s | %d | %s | %.3f | %.3f | %.3f | %.3f | %+.3f | %d | %.2f |\n", load.name, entries, way.name,
					sum.share(0), sum.share(1), sum.share(2), sum.total(), worst, turns, float64(sum.refusedBack)/float64(max(1, sum.comebacks)))
			}
		}
	}
}
