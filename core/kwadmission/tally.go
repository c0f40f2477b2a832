package kwadmission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

const (
	// reportLifetime is how long the report of an entry counts: three reports of 300 ms may be missing.
	reportLifetime = time.Second
	// gatherTime is how long a new leader waits for the reports of all entries before it answers.
	gatherTime = time.Second
)

// Tally adds up what entries report and decides on the shares of the classes; it is the leader's. It is not safe for concurrent use.
type Tally struct {
	cfg      Config
	epoch    uint64
	began    time.Time
	nextStep time.Time
	version  Version
	reports  map[kwid.NodeID]report
	services map[kwid.ServiceName]*serviceTally
}

type report struct {
	at   time.Time
	rows []Row
}

// serviceTally holds the shares of one service and the age of the reports that they are based on.
type serviceTally struct {
	control   control
	steppedAt time.Time
	age       time.Duration
}

// NewTally returns a Tally without reports.
func NewTally(cfg Config) *Tally { return &Tally{cfg: cfg} }

// Record takes the report of an entry. What was recorded in another epoch is dropped, since another process may have led since.
func (t *Tally) Record(now time.Time, epoch uint64, entry kwid.NodeID, rows []Row) {
	if t.reports == nil || epoch != t.epoch {
		t.epoch, t.began, t.nextStep = epoch, now, now.Add(gatherTime)
		t.reports, t.services = make(map[kwid.NodeID]report), make(map[kwid.ServiceName]*serviceTally)
	}
	t.reports[entry] = report{now, rows}
}

// Shares returns the shares of all services with recent reports, or nil while the reports of an epoch are still being gathered.
func (t *Tally) Shares(now time.Time, epoch uint64) []ServiceShares {
	if len(t.reports) == 0 || epoch != t.epoch {
		return nil
	}
	if !now.Before(t.nextStep) {
		t.step(now)
	}
	var out []ServiceShares
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		out = append(out, ServiceShares{
			Service: name, Version: t.version, Age: s.age + now.Sub(s.steppedAt), Classes: slices.Clone(s.control.shares),
		})
	}
	return out
}

// step adds up the recent reports and moves the shares.
func (t *Tally) step(now time.Time) {
	t.nextStep = now.Add(t.cfg.StepInterval)
	t.version++
	maps.DeleteFunc(t.reports, func(_ kwid.NodeID, r report) bool { return now.Sub(r.at) >= reportLifetime })
	sums := make(map[kwid.ServiceName]*classSums)
	for _, r := range t.reports {
		for _, row := range r.rows {
			s := sums[row.Service]
			if s == nil {
				s = &classSums{}
				sums[row.Service] = s
			}
			s.add(row)
			s.rows++
			s.ages += now.Sub(r.at)
		}
	}
	maps.DeleteFunc(t.services, func(name kwid.ServiceName, _ *serviceTally) bool { return sums[name] == nil })
	for name, sum := range sums {
		s := t.services[name]
		if s == nil {
			s = &serviceTally{control: control{cfg: t.cfg}}
			t.services[name] = s
		}
		s.steppedAt, s.age = now, sum.ages/time.Duration(sum.rows)
		s.control.step(sum.rowsByUrgency())
	}
}

// classSums adds up the counts of the classes of one service.
type classSums struct {
	classes []Row
	rows    int
	ages    time.Duration
}

// add adds a row; Withheld becomes the mean weighted by arrivals once rowsByUrgency is called.
func (s *classSums) add(r Row) {
	at, ok := slices.BinarySearchFunc(s.classes, r.Priority, func(c Row, p int) int { return cmp.Compare(c.Priority, p) })
	if !ok {
		s.classes = slices.Insert(s.classes, at, Row{Service: r.Service, Priority: r.Priority})
	}
	c := &s.classes[at]
	c.Arrivals += max(0, r.Arrivals)
	c.Granted += max(0, r.Granted)
	c.Rejected += max(0, r.Rejected)
	c.Waiting += max(0, r.Waiting)
	c.Withheld += r.Withheld * Share(max(0, r.Arrivals))
}

func (s *classSums) rowsByUrgency() []Row {
	for i := range s.classes {
		s.classes[i].Withheld /= Share(max(1, s.classes[i].Arrivals))
	}
	return s.classes
}
