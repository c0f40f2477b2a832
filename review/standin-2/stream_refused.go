package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	streamRequests     = 200
	streamRequestPause = 100 * time.Millisecond
	// failedShare is the share of its requests that the faulty server fails.
	failedShare = 0.4
)

// streamRunAndRefused has one of seven model servers fail part of its requests while its health probe is good: it runs them and answers
// 503 without saying that it has not run them. The requests are streams that may not be resumed.
func streamRunAndRefused(f *fleet, trouble bool) (string, error) {
	r := route("notes", "/notes/", "streaming", "drafting", 500, 20000, 2)
	r["sticky"], r["gap_slo_ms"] = true, 200
	if err := replaceManifest(f, manifest(1, []object{r}, []object{modelService("drafting")}), 20*time.Second); err != nil {
		return "", err
	}
	if err := awaitReady(f, 20*time.Second); err != nil {
		return "", err
	}
	servers, err := startModelServers(f, "drafting")
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	if err != nil {
		return "", err
	}
	if err := awaitLayers(servers, 30*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	failed := make(map[string]bool)
	var mu sync.Mutex
	if trouble {
		grey := firstOfPath(servers)
		f.record.printf("server %s fails part of its requests from now on", grey.cfg.id)
		count := 0.0
		grey.cfg.fault = func(s *server, w http.ResponseWriter, r *http.Request, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			if count += failedShare; count < 1 {
				return false
			}
			count--
			id := r.Header.Get("X-Knapweedproxy-Request-Id")
			failed[id] = true
			f.record.printf("server %s answers %s with 503 after it has run it", s.cfg.id, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	var clients sync.WaitGroup
	answers := make(chan answer, streamRequests)
	for i := range streamRequests {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0x2000+i)
			answers <- send(f, f.machines[i%len(f.machines)], id, "/notes/2f", 20*time.Second, map[string]string{
				"X-Knapweedproxy-Model": "daka510000", "X-Knapweedproxy-Token-Count": "760,30", "X-Knapweedproxy-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:720", 0x9000+i),
			})
		})
		time.Sleep(streamRequestPause)
	}
	clients.Wait()
	close(answers)
	served, broken, first := 0, 0, ""
	for a := range answers {
		switch {
		case a.err == nil && a.status == http.StatusOK:
			served++
		case isPromise(a.status) && failed[a.id]:
			if broken++; first == "" {
				first = fmt.Sprintf("request %s was answered %d and has run", a.id, a.status)
			}
		}
	}
	f.record.printf("%d of %d streams were served, %d were refused although they had run", served, streamRequests, broken)
	if served < streamRequests/2 {
		return "", fmt.Errorf("only %d of %d streams were served", served, streamRequests)
	}
	if broken > 0 {
		return fmt.Sprintf("REFUSED: %d streams that may run once at most; %s", broken, first), nil
	}
	return "", nil
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// firstOfPath returns a server that holds the first layers.
func firstOfPath(servers []*server) *server {
	for _, s := range servers {
		s.mu.Lock()
		first := s.from == 0 && s.target > 0
		s.mu.Unlock()
		if first {
			return s
		}
	}
	return servers[0]
}
