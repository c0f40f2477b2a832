package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has got for one attempt.
type answer struct {
	id     string
	status int
	stamp  string
	body   string
	err    error
}

// send sends one request on a new channel and reads the whole answer.
func send(f *fleet, m *machine, id, path string, wait time.Duration, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	out := answer{id: id}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(frontOffset)+path, strings.NewReader("body of "+id))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	req.Header.Set("X-Knapweedproxy-Request-Id", id)
	req.Header.Set("X-Knapweedproxy-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	f.record.printf("client sends %s: POST %s to the entry of %s", id, path, m.zone)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
	} else {
		out.status, out.stamp = resp.StatusCode, resp.Header.Get("X-Knapweedproxy-Response-Stamp")
		content, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.body, out.err = string(content), err
	}
	f.record.printf("client gets %s: status %d, stamp %q, %d bytes, error %v", id, out.status, out.stamp, len(out.body), out.err)
	return out
}
