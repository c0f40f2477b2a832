package kwmembership

import (
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwid"
)

// Process is one process of an endpoint.
type Process struct {
	Endpoint      kwid.EndpointID `cbor:"1,keyasint"`
	StartedMillis StartMillis     `cbor:"2,keyasint"`
}

// Process returns the process that an announcement comes from.
func (a Announcement) Process() Process {
	return Process{Endpoint: a.ID, StartedMillis: a.StartedMillis}
}

// leaverRetention is how long a process that says it leaves is remembered after the roster has last listed it. An endpoint that
// loses its lease may come back until its process ends.
const leaverRetention = 30 * time.Minute

// Leavers remembers the endpoint processes that have said in an answer that they leave. It answers planned stops whose
// announcement is late, lost or never made: the entry that has read such an answer needs no control process to know. It is safe
// for concurrent use.
type Leavers struct {
	mu sync.Mutex
	// processes are those that the roster lists, leaving holds when it last listed each process that leaves.
	processes map[kwid.EndpointID]StartMillis
	leaving   map[Process]time.Time
	// any spares most calls the lock.
	any atomic.Bool
}

// NewLeavers returns a Leavers without processes.
func NewLeavers() *Leavers {
	return &Leavers{processes: make(map[kwid.EndpointID]StartMillis), leaving: make(map[Process]time.Time)}
}

// SetProcesses sets the processes that the roster lists, by endpoint.
func (l *Leavers) SetProcesses(now time.Time, processes map[kwid.EndpointID]StartMillis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = processes
	for p, listed := range l.leaving {
		switch started, ok := processes[p.Endpoint]; {
		case ok && started == p.StartedMillis:
			l.leaving[p] = now
		case now.Sub(listed) > leaverRetention:
			delete(l.leaving, p)
		}
	}
	l.any.Store(len(l.leaving) > 0)
}

// Process returns the process of an endpoint that the roster lists, or false.
func (l *Leavers) Process(id kwid.EndpointID) (Process, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	started, ok := l.processes[id]
	return Process{Endpoint: id, StartedMillis: started}, ok
}

// Record records that a process has said that it leaves, and reports whether that is news.
func (l *Leavers) Record(now time.Time, p Process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.leaving[p]; known {
		return false
	}
	l.leaving[p] = now
	l.any.Store(true)
	return true
}

// Leaving reports whether a process has said that it leaves.
func (l *Leavers) Leaving(p Process) bool {
	if !l.any.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leaving := l.leaving[p]
	return leaving
}

// EndpointLeaving reports whether the listed process of an endpoint has said that it leaves.
func (l *Leavers) EndpointLeaving(id kwid.EndpointID) bool {
	if !l.any.Load() {
		return false
	}
	p, _ := l.Process(id)
	return l.Leaving(p)
}
