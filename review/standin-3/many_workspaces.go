package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// workspaces is the number of tenants that the users' letter names as its target; each has a route of its own here.
	workspaces = 10_000
	// recoverTime is recover_s of the sheet, and downTime how long the final fault keeps all processes down.
	recoverTime = 12 * time.Second
	downTime    = 1100 * time.Millisecond
	// judgedTime is how long requests are sent once recoverTime is over.
	judgedTime = 12 * time.Second
)

// largeManifest returns a manifest with the lookup route, and a route and a tenant for each of many workspaces.
func largeManifest(version int) string {
	var routes, tenants strings.Builder
	for i := range workspaces {
		fmt.Fprintf(&routes, `,{"name":"r-%05d","host":"workspaces.example","path_prefix":"/w%05d/","route_type":"streaming","timeout_ms":20000,`+
			`"slo_ms":500,"priority":1,"backends":[{"service":"drafting","weight":90},{"service":"records","weight":10}],"attempts":2,"public":false,`+
			`"sticky":true,"resumable":true,"gap_slo_ms":200}`, i, i)
		if i > 0 {
			tenants.WriteByte(',')
		}
		fmt.Fprintf(&tenants, `{"name":"w-%05d","api_keys":["%s"],"priority":%d}`, i, workspaceKey(i), i%3)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-lookup","host":"records.example","path_prefix":"/lookup/","route_type":"idempotent",`+
		`"timeout_ms":1000,"slo_ms":100,"priority":2,"service":"records","attempts":2,"public":false}%s],`+
		`"services":[{"name":"records","health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false},`+
		`{"name":"drafting","health_path":"/healthz","max_conns":988,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[%s]}`,
		version, routes.String(), tenants.String())
}

func workspaceKey(i int) string { return fmt.Sprintf("n2ctnfzs989anu6%05d", i) }

// servedShare sends reads to all entries in turn for a time and returns how many there were and how many were served.
func servedShare(s *scene, c *client, d time.Duration) (sent, served int) {
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		entry := s.fleet.machines[sent%len(s.fleet.machines)].address(entryPort)
		if _, status := c.lookup(entry, workspaceKey(sent%workspaces)); status == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return sent, served
}

// manyWorkspaces kills all processes of a deployment with many workspaces at once. Of the requests that are sent later than recover_s after
// they are back, a quarter has to be served.
func manyWorkspaces(s *scene) result {
	op := &operator{controls: s.fleet.controls(), record: s.record}
	name := fmt.Sprintf("version 3 with %d tenants and %d routes", workspaces, workspaces+1)
	if _, err := op.replace(name, largeManifest(3), 50*time.Second); err != nil {
		s.record.add("%v", err)
		return unable
	}
	for _, m := range s.fleet.machines {
		srv, err := startServer("i-"+m.zone, "records", m.zone, s.fleet.controls(), s.record, 15*time.Millisecond)
		if err != nil {
			return unable
		}
		defer srv.end()
	}
	c := newClient(s.record)
	for end, inARow := time.Now().Add(30*time.Second), 0; inARow < 2*len(s.fleet.machines); {
		if time.Now().After(end) {
			s.record.add("no service before the fault")
			return unable
		}
		inARow++
		if sent, served := servedShare(s, c, 50*time.Millisecond); served < sent {
			inARow = 0
		}
	}
	sent, served := servedShare(s, c, 3*time.Second)
	s.record.add("before the final fault %d of %d requests were served", served, sent)
	if 4*served < sent {
		return unable
	}
	if s.trouble {
		s.record.add("all processes are killed")
		s.fleet.killAll()
		time.Sleep(downTime)
		if err := s.fleet.startAll(); err != nil {
			s.record.add("%v", err)
			return unable
		}
		s.record.add("all processes are back")
	}
	time.Sleep(recoverTime)
	sent, served = servedShare(s, c, judgedTime)
	s.record.add("later than %v after that %d of %d requests were served", recoverTime, served, sent)
	if 4*served < sent {
		return broken
	}
	return held
}
