package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// What foreignPage sends: requests of one attempt each, at a steady pace, to all entries in turn.
const (
	pageRequests     = 600
	pageRequestPause = 70 * time.Millisecond
	// spoiledEvery makes a faulty server spoil one in 50 of its answers.
	spoiledEvery = 50
)

// foreignPage has one of three plain servers spoil one answer in 50: instead of its answer it sends a page with status 200, which bears
// neither the id of the request nor a stamp, and ends the channel.
func foreignPage(f *fleet, trouble bool) (string, error) {
	spoil := func(s *server, w http.ResponseWriter, r *http.Request, run int) bool {
		if !trouble || run%spoiledEvery != 0 {
			return false
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		f.record.printf("server %s spoils its answer to %s", s.cfg.id, r.Header.Get("X-Knapweedproxy-Request-Id"))
		page := "<html><body>It works!</body></html>\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(page), page)
		_ = c.Close()
		return true
	}
	for i := range 3 {
		cfg := serverConfig{
			id: fmt.Sprintf("i-%d", i+1), service: "records", zone: f.machines[i].zone, address: fmt.Sprintf("127.61.%d.20:0", i+1),
			work: 15 * time.Millisecond,
		}
		if i == 0 {
			cfg.fault = spoil
		}
		s, err := startServer(f, cfg)
		if err != nil {
			return "", err
		}
		defer s.crash()
	}
	routes := []object{route("alerts", "/alerts/", "non_idempotent", "records", 100, 1000, 1)}
	if err := replaceManifest(f, manifest(1, routes, []object{plainService("records")}), 20*time.Second); err != nil {
		return "", err
	}
	if err := awaitReady(f, 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	answers := make(chan answer, pageRequests)
	for i := range pageRequests {
		clients.Go(func() {
			answers <- send(f, f.machines[i%len(f.machines)], fmt.Sprintf("%016x", 0x1000+i), "/alerts/2f", time.Second, nil)
		})
		time.Sleep(pageRequestPause)
	}
	clients.Wait()
	close(answers)
	served, foreign, first := 0, 0, ""
	for a := range answers {
		switch {
		case a.err != nil || a.status != http.StatusOK:
		case a.stamp != "" && a.body == "answer to "+a.id:
			served++
		default:
			if foreign++; first == "" {
				first = fmt.Sprintf("request %s got status 200 with stamp %q and body %q", a.id, a.stamp, a.body)
			}
		}
	}
	f.record.printf("%d of %d requests were served, %d got a success without a stamp", served, pageRequests, foreign)
	if served < pageRequests*9/10 {
		return "", fmt.Errorf("only %d of %d requests were served", served, pageRequests)
	}
	if foreign > 0 {
		return fmt.Sprintf("MIXED: %d successes without a server's stamp; %s", foreign, first), nil
	}
	return "", nil
}
