package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// manifest returns a manifest with one route for reads, which needs a key.
func manifest(version int, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-lookup","host":"records.example","path_prefix":"/lookup/","route_type":"idempotent",`+
		`"timeout_ms":1000,"slo_ms":100,"priority":2,"service":"records","attempts":2,"public":false,"sticky":false,"resumable":false,"gap_slo_ms":0}],`+
		`"services":[{"name":"records","health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":%s}`, version, tenants)
}

// client sends requests on kept connections.
type client struct {
	http   http.Client
	record *record
	sent   int
}

func newClient(rec *record) *client {
	return &client{http: http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}, record: rec}
}

// lookup sends a read to an entry and returns its ID and the status of the answer, 0 without one.
func (c *client) lookup(entry, key string) (id string, status int) {
	c.sent++
	id = fmt.Sprintf("%016x", 0x3e0000+c.sent)
	req, err := http.NewRequest(http.MethodGet, "http://"+entry+"/lookup/2f", nil)
	if err != nil {
		return id, 0
	}
	req.Host = "records.example"
	req.Header.Set("X-Knapweedproxy-Request-Id", id)
	req.Header.Set("X-Knapweedproxy-Deadline-Ms", "1000")
	req.Header.Set("Authorization", "Bearer "+key)
	c.record.add("client: %s sent to %s with key %s", id, entry, key)
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.add("client: %s: %v", id, err)
		return id, 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	c.record.add("client: %s answered %d: %s", id, resp.StatusCode, strings.TrimSpace(string(body)))
	return id, resp.StatusCode
}

// noTenants takes the keys of the last tenant away, by a manifest whose list of tenants is empty. Later than revoke_ms after its
// confirmation, no request with such a key may run, and none at any time with a key that no manifest ever held.
func noTenants(s *scene) result {
	op := &operator{controls: s.fleet.controls(), record: s.record}
	const full = `[{"name":"district","api_keys":["n2ctnfzs989anu6wsjnb","anfqasnmgkcuyj8pjbvk"]}]`
	if _, err := op.replace("version 3 with one tenant of two keys", manifest(3, full), 20*time.Second); err != nil {
		s.record.add("%v", err)
		return unable
	}
	var servers []*server
	for _, m := range s.fleet.machines {
		srv, err := startServer("i-"+m.zone, "records", m.zone, s.fleet.controls(), s.record, 15*time.Millisecond)
		if err != nil {
			return unable
		}
		defer srv.end()
		servers = append(servers, srv)
	}
	c := newClient(s.record)
	time.Sleep(4 * time.Second)
	for _, m := range s.fleet.machines {
		if _, status := c.lookup(m.address(entryPort), "n2ctnfzs989anu6wsjnb"); status != http.StatusOK {
			s.record.add("a request with a key of the manifest is not served")
			return unable
		}
		if _, status := c.lookup(m.address(entryPort), "key-that-no-manifest-held"); status != http.StatusUnauthorized {
			s.record.add("a request with an unknown key is not answered 401")
			return unable
		}
	}
	left, name := `[{"name":"district","api_keys":[]}]`, "version 5 with a tenant without keys"
	if s.trouble {
		left, name = `[]`, "version 5 without tenants"
	}
	confirmed, err := op.replace(name, manifest(5, left), 20*time.Second)
	if err != nil {
		s.record.add("%v", err)
		// Refused, the manifest is not in force, and its keys are good.
		return held
	}
	time.Sleep(time.Until(confirmed.Add(revokeMS*time.Millisecond + time.Second)))
	var later []string
	for range 3 {
		for _, m := range s.fleet.machines {
			for _, key := range []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "key-that-no-manifest-held"} {
				id, _ := c.lookup(m.address(entryPort), key)
				later = append(later, id)
			}
		}
	}
	ran := 0
	for _, id := range later {
		for _, srv := range servers {
			ran += srv.runsOf(id)
		}
	}
	s.record.add("of %d requests that were sent later than %d ms after the confirmation, %d ran", len(later), revokeMS, ran)
	if ran > 0 {
		return broken
	}
	return held
}
