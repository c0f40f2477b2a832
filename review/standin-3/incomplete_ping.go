package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	modelServers = 6
	// settledTime is how long the placement of the layers may take.
	settledTime = 30 * time.Second
	streamKey   = "n2ctnfzs989anu6wsjnb"
)

// modelManifest has one streaming route to a service with an engine.
const modelManifest = `{"version":3,"routes":[{"name":"r-summary","host":"records.example","path_prefix":"/summary/","route_type":"streaming",` +
	`"timeout_ms":20000,"slo_ms":500,"priority":1,"service":"drafting","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_slo_ms":200}],` +
	`"services":[{"name":"drafting","health_path":"/healthz","max_conns":988,"protocol":"h1","tls":false,"engine":{"slots":192,"kv_tokens":100000,` +
	`"kv_bytes":91800,"link_mbps":400000.0,"stride":3,"models":[{"name":"daka510000","pace":1.0,"load_s":14.0,"warm_s":1.0}],"step_ms":1.02,` +
	`"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,` +
	`"loads_at_once":5,"delays":[],"usual":{"prompt":774,"answer":200},"layers":8,"layer_mb":1750.0,"act_bytes":45900,"pipe_mbps":26000.0,` +
	`"kinds":[{"name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
	`"tenants":[{"name":"district","api_keys":["` + streamKey + `"],"priority":1}]}`

// streamsServed sends streams to all entries in turn for a time and returns how many there were and how many were served whole.
func streamsServed(s *scene, c *client, d time.Duration) (sent, served int) {
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		if c.stream(s.fleet.machines[sent%len(s.fleet.machines)].address(entryPort), streamKey) {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return sent, served
}

// awaitStreams waits until all entries serve streams.
func awaitStreams(s *scene, c *client, patience time.Duration) bool {
	inARow := 0
	for end := time.Now().Add(patience); inARow < 2*len(s.fleet.machines); {
		if time.Now().After(end) {
			return false
		}
		inARow++
		if sent, served := streamsServed(s, c, 50*time.Millisecond); served < sent {
			inARow = 0
		}
	}
	return true
}

// incompletePing has another writer send one ping for the address of each model server after all processes were killed and are back. The pings
// lack the fields that pings of model servers have, so that they name no server to use, and the others hold.
func incompletePing(s *scene) result {
	op := &operator{controls: s.fleet.controls(), record: s.record}
	if _, err := op.replace("version 3", modelManifest, 20*time.Second); err != nil {
		s.record.add("%v", err)
		return unable
	}
	var servers []*modelServer
	for i := range modelServers {
		m, err := startModelServer(fmt.Sprintf("i-%d", i+1), s.fleet.machines[i%len(s.fleet.machines)].zone, s.fleet.controls(), s.record)
		if err != nil {
			return unable
		}
		defer m.end()
		servers = append(servers, m)
	}
	c := newClient(s.record)
	if !awaitStreams(s, c, settledTime) {
		s.record.add("no service before the fault")
		return unable
	}
	sent, served := streamsServed(s, c, 3*time.Second)
	s.record.add("before the final fault %d of %d streams were served", served, sent)
	if 4*served < sent {
		return unable
	}
	if s.trouble {
		s.record.add("all processes are killed")
		s.fleet.killAll()
		time.Sleep(downTime)
		if err := s.fleet.startAll(); err != nil {
			return unable
		}
		s.record.add("all processes are back")
	}
	back := time.Now()
	if !awaitStreams(s, c, recoverTime) {
		s.record.add("no service after the fault, before the pings of another writer")
		return unable
	}
	if s.trouble {
		strayPings(s, servers)
	}
	time.Sleep(time.Until(back.Add(recoverTime)))
	sent, served = streamsServed(s, c, judgedTime)
	s.record.add("later than %v after that %d of %d streams were served", recoverTime, served, sent)
	for _, m := range servers {
		s.record.add("server %s is up; its last ping was confirmed %.1f s ago", m.id, m.sinceConfirmed().Seconds())
	}
	if 4*served < sent {
		return broken
	}
	return held
}

// strayPings sends the pings of another writer.
func strayPings(s *scene, servers []*modelServer) {
	for i, m := range servers {
		ping, _ := json.Marshal(map[string]any{
			"service": "drafting", "addr": m.address(), "zone": m.zone, "version": "v1", "slots": 192, "state": "ready", "cold_left_ms": 0, "seq": 1,
			"born": time.Now().UnixMilli(),
		})
		control := s.fleet.controls()[i%len(s.fleet.machines)]
		status, err := post("http://"+control+"/instances/t-"+fmt.Sprint(i+1)+"/heartbeat", ping)
		s.record.add("another writer: ping t-%d to %s: %s: status %d %s, %v", i+1, control, ping, status, http.StatusText(status), err)
	}
}
