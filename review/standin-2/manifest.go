package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type object map[string]any

const (
	host        = "ficu95.example"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	tenantName  = "hule930"
	layerCount  = 80
	layerMB     = 1750.0
	loadSeconds = 14.0
)

// cards are the kinds of accelerators with their memory in MB.
var cards = map[string]float64{"a100": 72000, "l40s": 43200, "l4": 21600}

// engine is the engine of the small installations' model service.
func engine() object {
	return object{
		"slots": 192, "kv_tokens": 100000, "kv_bytes": 918000, "link_mbps": 400000.0, "stride": 3,
		"models":  []object{{"name": "daka510000", "pace": 1.0, "load_s": loadSeconds, "warm_s": 1.0}},
		"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
		"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5,
		"delays": []object{
			{"from": "zone-a", "target": "zone-b", "delay_ms": 0.75},
			{"from": "zone-a", "target": "zone-c", "delay_ms": 0.75},
			{"from": "zone-b", "target": "zone-c", "delay_ms": 0.75},
		},
		"usual": object{"prompt": 774, "answer": 200}, "layers": layerCount, "layer_mb": layerMB, "act_bytes": 45900, "pipe_mbps": 26000.0,
		"kinds": []object{
			{"name": "a100", "mb": cards["a100"], "pace": 2.4, "read_x": 3.2},
			{"name": "l40s", "mb": cards["l40s"], "pace": 5.6, "read_x": 2.7},
			{"name": "l4", "mb": cards["l4"], "pace": 16.0, "read_x": 8.2},
		},
	}
}

func modelService(name string) object {
	return object{"name": name, "health_path": "/healthz", "max_conns": 988, "protocol": "h1", "tls": false, "engine": engine()}
}

func plainService(name string) object {
	return object{"name": name, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false}
}

// route returns a route with an objective and a timeout in milliseconds.
func route(name, prefix, kind, service string, objective, timeout, attempts int) object {
	return object{
		"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "slo_ms": objective, "priority": 1,
		"service": service, "attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// manifest returns a whole manifest as the operator sends it.
func manifest(version int, routes, services []object) []byte {
	body, err := json.Marshal(object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": tenantName, "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// replaceManifest sends a manifest to one node after the other until one acknowledges it.
func replaceManifest(f *fleet, body []byte, wait time.Duration) error {
	nodes := f.controlAddresses()
	deadline := time.Now().Add(wait)
	for i := 0; time.Now().Before(deadline); i++ {
		status, err := post(nodes[i%len(nodes)], "/config/replace", body, time.Second)
		f.record.printf("operator: manifest to %s: status %d, error %v", nodes[i%len(nodes)], status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil && status >= 400 && status < 500 {
			return fmt.Errorf("the manifest was refused with %d", status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no node acknowledged the manifest within %v", wait)
}

// post sends a JSON body on a new channel and returns the status of the answer.
func post(address, path string, body []byte, wait time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// awaitReady waits until all entries say that they are ready.
func awaitReady(f *fleet, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for _, m := range f.machines {
		for {
			resp, err := http.Get("http://" + m.address(readyOffset) + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("the entry of %s is not ready after %v", m.zone, wait)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
