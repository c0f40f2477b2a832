package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// recoverTime is recover_s, and restartAfter how long all processes are down.
	recoverTime  = 12 * time.Second
	restartAfter = time.Second
	// pingRequests is the number of requests before the final fault, and again after the recovery.
	pingRequests = 100
	pingPause    = 100 * time.Millisecond
)

// foreignPing kills all processes at the same moment, as the final fault of a day does, and starts them again. As they are back, one ping of
// another writer arrives for each server: it bears the server's address and a service that the manifest doesn't name.
func foreignPing(f *fleet, trouble bool) (string, error) {
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	for i := range 3 {
		s, err := startServer(f, serverConfig{
			id: fmt.Sprintf("i-%d", i+1), service: "records", zone: f.machines[i].zone, address: fmt.Sprintf("127.61.%d.20:0", i+1),
			work: 15 * time.Millisecond,
		})
		if err != nil {
			return "", err
		}
		servers = append(servers, s)
	}
	routes := []object{route("alerts", "/alerts/", "non_idempotent", "records", 100, 1000, 1)}
	if err := replaceManifest(f, manifest(1, routes, []object{plainService("records")}), 20*time.Second); err != nil {
		return "", err
	}
	if err := awaitReady(f, 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	before := alertsServed(f, 0x5000)
	f.record.printf("before: %d of %d requests were served", before, pingRequests)
	if before < pingRequests*9/10 {
		return "", fmt.Errorf("only %d of %d requests were served before the final fault", before, pingRequests)
	}
	if trouble {
		f.record.printf("all processes are killed")
		if err := f.killAll(restartAfter); err != nil {
			return "", err
		}
		f.record.printf("all processes have been started again")
	}
	back := time.Now()
	if err := awaitReady(f, 20*time.Second); err != nil {
		return "", err
	}
	if trouble {
		for i, s := range servers {
			body, err := json.Marshal(object{
				"service": "tachograph", "addr": s.address(), "zone": s.cfg.zone, "version": "7", "slots": 1, "state": "ready", "cold_left_ms": 0,
				"seq": 1, "born": time.Now().UnixMilli(),
			})
			if err != nil {
				return "", err
			}
			node := f.machines[i].address(controlOffset)
			status, err := post(node, fmt.Sprintf("/instances/t-%d/heartbeat", i+1), body, time.Second)
			f.record.printf("another writer: ping to %s: %s: status %d, error %v", node, body, status, err)
		}
	}
	time.Sleep(time.Until(back.Add(recoverTime + time.Second)))
	after := alertsServed(f, 0x6000)
	f.record.printf("after: %d of %d requests were served", after, pingRequests)
	for _, s := range servers {
		f.record.printf("server %s is up, and its last ping was confirmed: %v", s.cfg.id, s.confirmed.Load())
	}
	if after*4 < pingRequests {
		return fmt.Sprintf("RECOVER: %d of %d requests were served later than recover_s after the machines were back, %d before the final fault", after, pingRequests, before), nil
	}
	return "", nil
}

// alertsServed sends requests to all entries in turn and returns how many were served.
func alertsServed(f *fleet, firstID int) int {
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range pingRequests {
		clients.Go(func() {
			a := send(f, f.machines[i%len(f.machines)], fmt.Sprintf("%016x", firstID+i), "/alerts/2f", time.Second, nil)
			if a.err == nil && a.status == http.StatusOK {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(pingPause)
	}
	clients.Wait()
	return served
}
