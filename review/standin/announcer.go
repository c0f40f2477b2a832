package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// announcer sends the heartbeats of a server.
type announcer struct {
	platform                   *platform
	id, service, zone, address string
	born                       int64
	count                      *atomic.Int64
	// more returns the fields that the server adds.
	more func() map[string]any
	done chan struct{}
	once *sync.Once
}

func newAnnouncer(p *platform, id, service, zone, address string, more func() map[string]any) announcer {
	a := announcer{
		platform: p, id: id, service: service, zone: zone, address: address, born: time.Now().UnixMilli(), count: new(atomic.Int64),
		more: more, done: make(chan struct{}), once: new(sync.Once),
	}
	return a
}

// zoneOf returns the zone of a server by its number.
func zoneOf(n int) string { return fmt.Sprintf("zone-%c", 'a'+(n-1)%3) }

// sendHeartbeats announces the server until stopHeartbeats is called.
func (a announcer) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		a.heartbeat()
		select {
		case <-a.done:
			return
		case <-ticker.C:
		}
	}
}

func (a announcer) stopHeartbeats() { a.once.Do(func() { close(a.done) }) }

// heartbeat announces the server to the first control process that confirms it.
func (a announcer) heartbeat() {
	fields := map[string]any{
		"service": a.service, "addr": a.address, "zone": a.zone, "version": "v1", "state": "ready", "cold_left_ms": 0,
		"seq": a.count.Add(1), "born": a.born,
	}
	for name, value := range a.more() {
		fields[name] = value
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return
	}
	for _, seed := range a.platform.seeds {
		if status, err := sendPing(seed, a.id, body); err == nil && status == http.StatusOK {
			return
		}
	}
}

// sendPing sends a ping to one control process.
func sendPing(control, id string, body []byte) (status int, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
