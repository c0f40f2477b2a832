package kwevent

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
)

// Field is a key and a value that belong to an event.
type Field struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
}

// F returns a Field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Record is one event in the timeline.
type Record struct {
	Timestamp kwhlc.Timestamp `json:"stamp"`
	Node      kwid.NodeID     `json:"node"`
	ID        ID              `json:"id"`
	Name      string          `json:"name"`
	Request   kwid.RequestID  `json:"request,omitempty"`
	Fields    []Field         `json:"fields,omitempty"`
}

// Config configures an Emitter. File receives each event as a JSON line and may be nil; MaxRecords limits the records
// kept in memory.
type Config struct {
	Node       kwid.NodeID
	Clock      *kwhlc.Clock
	Log        logr.Logger
	File       io.Writer
	MaxRecords int
}

// DefaultMaxRecords is the number of records that an Emitter keeps if Config.MaxRecords is 0.
const DefaultMaxRecords = 4096

// Emitter writes events to the log and to the timeline; it is safe for concurrent use.
type Emitter struct {
	cfg  Config
	mu   sync.Mutex
	ring []Record
	// next is the index of the oldest record once the ring is full.
	next int
	// limits bounds the events of EmitLimited.
	limits limits
}

// New returns an Emitter.
func New(cfg Config) *Emitter {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	return &Emitter{cfg: cfg}
}

// Emit writes one event; request is empty for an event outside a request.
func (e *Emitter) Emit(id ID, request kwid.RequestID, fields ...Field) {
	info := Describe(id)
	record := Record{
		Timestamp: e.cfg.Clock.Next(),
		Node:      e.cfg.Node,
		ID:        id,
		Name:      info.Name,
		Request:   request,
		Fields:    fields,
	}
	e.log(info, record)
	e.store(record)
}

func (e *Emitter) log(info Info, record Record) {
	log := e.cfg.Log.V(info.Level)
	if !log.Enabled() {
		return
	}
	values := []any{"event", int(info.ID), "node", string(record.Node)}
	if record.Request != "" {
		values = append(values, "request", shorten(string(record.Request)))
	}
	for _, f := range record.Fields {
		value := f.Value
		if text, ok := value.(string); ok {
			value = shorten(text)
		}
		values = append(values, f.Key, value)
	}
	log.Info(info.Name, values...)
}

// maxLoggedBytes bounds a text in a log line: clients choose request IDs and paths of many kilobytes. A stack fits.
const maxLoggedBytes = 8 << 10

// shorten returns the beginning of a long text.
func shorten(s string) string {
	if len(s) <= maxLoggedBytes {
		return s
	}
	return s[:maxLoggedBytes] + "..."
}

func (e *Emitter) store(record Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ring) < e.cfg.MaxRecords {
		e.ring = append(e.ring, record)
	} else {
		e.ring[e.next] = record
		e.next = (e.next + 1) % e.cfg.MaxRecords
	}
	if e.cfg.File == nil {
		return
	}
	line, err := json.Marshal(record)
	if err != nil {
		return
	}
	_, _ = e.cfg.File.Write(append(line, '\n'))
}

// Records returns the kept records, the oldest first.
func (e *Emitter) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, 0, len(e.ring))
	out = append(out, e.ring[e.next:]...)
	return append(out, e.ring[:e.next]...)
}
