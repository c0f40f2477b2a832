package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// callCount numbers the requests.
var callCount atomic.Int64

// answer is what a caller has received.
type answer struct {
	id     string
	status int
	stamp  string
	body   string
}

// own reports whether a success is the whole answer of the server to the request.
func (a answer) own() bool {
	return a.stamp == "stamp-"+a.id && a.body == "answer to "+a.id
}

// call sends one request to the entry of a machine on a new channel.
func call(m *machine, method, path string, body []byte, wait time.Duration) (answer, error) {
	out := answer{id: fmt.Sprintf("%016x", callCount.Add(1))}
	req, err := http.NewRequest(method, "http://"+m.address(frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Host = host
	req.Header.Set("X-Knapweedproxy-Request-Id", out.id)
	req.Header.Set("X-Knapweedproxy-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Knapweedproxy-Token-Count", "40,12")
	req.Header.Set("X-Knapweedproxy-Length-Hint", "12")
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, err
	}
	out.status, out.stamp, out.body = resp.StatusCode, resp.Header.Get("X-Knapweedproxy-Response-Stamp"), string(text)
	return out, nil
}

// streamFrom asks the entry of a machine for a stream and records what came.
func streamFrom(r *record, m *machine) {
	a, err := call(m, http.MethodPost, "/notes/2f", []byte("prompt"), 2*time.Second)
	r.logf("a stream from %s: status %d, %d bytes, error %v, %.160q", m.name, a.status, len(a.body), err, a.body)
}

// tally counts what lookups have come to.
type tally struct {
	sent, served int
	outcomes     map[string]int
	// foreign lists the successes that are not the server's own answer to the request.
	foreign []answer
}

// lookUp sends lookups to all entries in turn for a time.
func lookUp(r *record, p *platform, length time.Duration) tally {
	t := tally{outcomes: make(map[string]int)}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(lookupPause) {
		m := p.machines[t.sent%len(p.machines)]
		a, err := call(m, http.MethodGet, "/lookups/2f", nil, time.Second)
		t.sent++
		switch {
		case err != nil:
			t.outcomes["no answer"]++
			continue
		case a.status == http.StatusOK && !a.own():
			t.foreign = append(t.foreign, a)
		case a.status == http.StatusOK:
			t.served++
		}
		t.outcomes[strconv.Itoa(a.status)]++
	}
	r.logf("lookups: %d sent, %d served, statuses %v, %d with another answer than the server's own", t.sent, t.served, t.outcomes, len(t.foreign))
	return t
}

// lookupPause is the time between two lookups.
const lookupPause = 20 * time.Millisecond
