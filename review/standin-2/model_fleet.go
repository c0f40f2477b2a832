package main

import (
	"fmt"
	"time"
)

// modelCards are the accelerators of the model servers, all in one zone: more than one copy of the model.
var modelCards = []string{"a100", "a100", "l40s", "l40s", "l4", "l4", "l4"}

// startModelServers starts the model servers of a service.
func startModelServers(f *fleet, service string) ([]*server, error) {
	var servers []*server
	for i, card := range modelCards {
		s, err := startServer(f, serverConfig{
			id: fmt.Sprintf("i-model-%d", i+1), service: service, zone: "zone-a", card: card, address: fmt.Sprintf("127.61.1.%d:0", 31+i),
		})
		if err != nil {
			return servers, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// awaitLayers waits until the servers that live hold all layers.
func awaitLayers(servers []*server, wait time.Duration) error {
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		held := make([]bool, layerCount)
		for _, s := range servers {
			if !s.alive() {
				continue
			}
			s.mu.Lock()
			for layer := s.from; layer < s.target; layer++ {
				held[layer] = true
			}
			s.mu.Unlock()
		}
		missing := 0
		for _, ok := range held {
			if !ok {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
	}
	return fmt.Errorf("the servers do not hold all layers after %v", wait)
}
