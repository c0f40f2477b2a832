package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// largestBody is max_body_bytes of the manifest.
	largestBody = 4194304
	// callersAtOnce is how many callers send a request to one entry at the same time.
	callersAtOnce = 48
	// bursts is how often they do.
	bursts = 6
	// burstPause is the time between two bursts; the bench's bursts last for seconds.
	burstPause = 3 * time.Second
	// burstMachines is the number of machines that get them, ownEndsLimit how often a process of each may end by itself.
	burstMachines = 2
	ownEndsLimit  = 2
	// bodyWait is how long these callers wait.
	bodyWait = 5 * time.Second
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 10 * time.Millisecond
)

// largeBodies has many callers send requests of the largest size that the manifest allows, at once or one after the other.
func largeBodies(r *record, folder string, trouble bool) error {
	p, _, stop, err := deploy(r, folder, smallTenants)
	if err != nil {
		return err
	}
	defer stop()
	limited := p.limitMemory(memoryInterval)
	defer limited()
	lookUp(r, p, time.Second)
	for range bursts {
		statuses := make(map[int]int)
		var mu sync.Mutex
		var callers sync.WaitGroup
		send := func(m *machine) {
			a, _ := call(m, http.MethodPost, "/alerts/2f", make([]byte, largestBody), bodyWait)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		}
		for _, m := range p.machines[:burstMachines] {
			for range callersAtOnce {
				if trouble {
					callers.Go(func() { send(m) })
				} else {
					send(m)
				}
			}
		}
		callers.Wait()
		r.logf("%d alerts of %d bytes to each of %d entries, statuses (0: no answer): %v", callersAtOnce, largestBody, burstMachines, statuses)
		time.Sleep(burstPause)
	}
	ended := 0
	for _, m := range p.machines {
		r.logf("the entry of %s has ended by itself %d times", m.name, m.entry.ends())
		if m.entry.ends() > ownEndsLimit {
			ended++
		}
	}
	if ended >= burstMachines {
		r.breakf("Fault: on %d of %d machines, the entry has ended by itself three times or more, for its memory", ended, len(p.machines))
	}
	return nil
}
