package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	modelServers = 9
	// otherLayers is the number of layers of the model that the other writer's server holds.
	otherLayers = 100
	// placeTime bounds the time in which the model servers get and load their layers.
	placeTime = 15 * time.Second
	// watchTime is how long the control processes are watched.
	watchTime = 96 * time.Second
	// faultEnds is how often a process may not end by itself.
	faultEnds = 3
	// leadTime is how long after its last end a leader is stopped as planned: it leads again by then.
	leadTime = 4 * time.Second
)

// otherWriter has another writer send incomplete pings of a server with more layers than the model has. Once a control process has ended
// often, its machine is restarted as planned.
func otherWriter(r *record, folder string, trouble bool) error {
	p, stop, err := deployModels(r, folder)
	if err != nil {
		return err
	}
	defer stop()
	if trouble {
		done := make(chan struct{})
		defer close(done)
		go sendIncompletePings(p, done)
	}
	restarted := false
	for end := time.Now().Add(watchTime); time.Now().Before(end); {
		lookUp(r, p, leadTime)
		streamFrom(r, p.machines[0])
		leader, err := p.leader()
		if err != nil {
			return err
		}
		if !restarted && (leader.control.ends() >= faultEnds || !trouble) {
			restarted = true
			r.logf("planned work: %s, which leads, is restarted", leader.name)
			leader.control.signal(syscall.SIGTERM)
		}
	}
	ended := 0
	for _, m := range p.machines {
		r.logf("the control process of %s has ended by itself %d times", m.name, m.control.ends())
		if m.control.ends() >= faultEnds {
			ended++
		}
	}
	if 2*ended >= len(p.machines) {
		r.breakf("Fault: on %d of the %d machines of the core, the control process has ended by itself three times or more", ended, len(p.machines))
	}
	return nil
}

// sendIncompletePings sends the pings of the other writer, in which version, slots, cold_left_ms, stage and models are missing.
func sendIncompletePings(p *platform, done <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		ping := fmt.Sprintf(`{"service":"drafter","addr":"%s:%d","zone":"zone-a","state":"ready","seq":%d,"born":%d,"route_type":"a100","layers":{"from":0,"target":%d}}`,
			p.ip(otherServer), modelPort, seq, born, otherLayers)
		for _, control := range p.seeds {
			status, err := sendPing(control, "i-other", []byte(ping))
			p.record.logf("the other writer's ping %s to %s: %d %v", ping, control, status, err)
			if status == http.StatusOK {
				break
			}
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// otherServer is the number of the address in the other writer's pings, where nothing listens.
const otherServer = 240

// deployModels is deploy with model servers, which hold all layers when it returns.
func deployModels(r *record, folder string) (*platform, func(), error) {
	p, err := newPlatform(r, folder, 3, 3)
	if err != nil {
		return nil, nil, err
	}
	var closers []func()
	stop := func() {
		for _, c := range closers {
			c()
		}
		p.stop()
	}
	records, err := startRecords(p, 1)
	if err != nil {
		return nil, nil, err
	}
	closers = append(closers, records.close)
	var models []*modelServer
	for n := range modelServers {
		s, err := startModel(p, n+1)
		if err != nil {
			stop()
			return nil, nil, err
		}
		closers = append(closers, s.close)
		models = append(models, s)
	}
	p.start()
	o := newOperator(p, smallTenants)
	o.layers = modelLayers
	if err := o.sendFirst(); err != nil {
		stop()
		return nil, nil, err
	}
	for began := time.Now(); !allHold(models); time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > placeTime {
			stop()
			return nil, nil, errors.New("the model servers have not got their layers")
		}
	}
	// All servers announce what they hold.
	time.Sleep(2 * heartbeatInterval)
	return p, stop, nil
}

// allHold reports whether all model servers hold layers.
func allHold(models []*modelServer) bool {
	for _, s := range models {
		s.mu.Lock()
		held := s.to - s.from
		s.mu.Unlock()
		if held == 0 {
			return false
		}
	}
	return true
}
