package main

import (
	"fmt"
	"time"
)

const (
	// crashAfter is when the server with the largest card crashes, after its start.
	crashAfter = 1400 * time.Millisecond
	// reuseAfter is when its address is used again, after its end: reuse_after_s and a little more.
	reuseAfter = 2050 * time.Millisecond
	// latePing is how late the pings of the new server arrive.
	latePing = 2500 * time.Millisecond
)

// orderToReusedAddress has a model server crash for good shortly after its start. After reuse_after_s its address goes to a model server
// of another service with a smaller card, whose pings arrive late.
func orderToReusedAddress(f *fleet, trouble bool) (string, error) {
	routes := []object{
		route("notes", "/notes/", "streaming", "drafting", 500, 20000, 2), route("hints", "/hints/", "streaming", "hinting", 500, 20000, 2),
	}
	for _, r := range routes {
		r["resumable"], r["sticky"], r["gap_slo_ms"] = true, true, 200
	}
	services := []object{modelService("drafting"), modelService("hinting")}
	if err := replaceManifest(f, manifest(1, routes, services), 20*time.Second); err != nil {
		return "", err
	}
	if err := awaitReady(f, 20*time.Second); err != nil {
		return "", err
	}
	// A new leader first gathers the pings of the servers that an earlier one knew.
	time.Sleep(3 * time.Second)
	servers, err := startModelServers(f, "drafting")
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	if err != nil {
		return "", err
	}
	gone := servers[0]
	cfg := serverConfig{id: "i-other", service: "hinting", zone: "zone-a", card: "l4", address: "127.61.1.50:0", pingDelay: latePing}
	time.Sleep(crashAfter)
	if trouble {
		gone.crash()
		cfg.address = gone.address()
	}
	time.Sleep(reuseAfter)
	other, err := startServer(f, cfg)
	if err != nil {
		return "", err
	}
	servers = append(servers, other)
	if err := awaitLayers(servers, 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	for _, s := range servers {
		s.mu.Lock()
		ordered := s.ordered
		s.mu.Unlock()
		for _, layers := range ordered {
			if layers > s.room() {
				return fmt.Sprintf("LIMIT: server %s of %s has room for %d layers and was ordered to hold %d", s.cfg.id, s.cfg.service, s.room(), layers), nil
			}
		}
	}
	return "", nil
}
