package kwtcprpc

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes of calls by kind, both ways and without the headers of lower layers. A nil Traffic counts
// nothing. It is safe for concurrent use.
type Traffic struct {
	registry metrics.Registry
	names    map[Kind]string
	mu       sync.Mutex
	counters map[trafficKey]metrics.Counter
}

type trafficKey struct {
	kind Kind
	sent bool
}

// NewTraffic returns a Traffic whose counters are control.bytes.NAME.sent and control.bytes.NAME.received; a kind
// without a name counts as "other".
func NewTraffic(registry metrics.Registry, names map[Kind]string) *Traffic {
	return &Traffic{registry: registry, names: names, counters: make(map[trafficKey]metrics.Counter)}
}

func (t *Traffic) countSent(kind Kind, n int)     { t.count(trafficKey{kind, true}, n) }
func (t *Traffic) countReceived(kind Kind, n int) { t.count(trafficKey{kind, false}, n) }

func (t *Traffic) count(key trafficKey, n int) {
	if t == nil || n == 0 {
		return
	}
	t.mu.Lock()
	c, ok := t.counters[key]
	if !ok {
		c = metrics.GetOrRegisterCounter(t.metricName(key), t.registry)
		t.counters[key] = c
	}
	t.mu.Unlock()
	c.Inc(int64(n))
}

func (t *Traffic) metricName(key trafficKey) string {
	name, ok := t.names[key.kind]
	if !ok {
		name = "other"
	}
	if key.sent {
		return "control.bytes." + name + ".sent"
	}
	return "control.bytes." + name + ".received"
}
