package main

import (
	"fmt"
	"time"
)

// seedsThatDiffer has the settings of the entries and of the control processes without a disk name other seeds than those of the control
// processes with one, and then kills all processes at the same moment.
func seedsThatDiffer(f *fleet, trouble bool) (string, error) {
	if err := f.startRelays(); err != nil {
		return "", err
	}
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
		if err := f.changeSeeds(f.relays); err != nil {
			return "", err
		}
		f.record.printf("the seeds of entries and of control processes without a disk are other ones")
		time.Sleep(10 * time.Second)
		f.record.printf("all processes are killed")
		if err := f.killAll(restartAfter); err != nil {
			return "", err
		}
		f.record.printf("all processes have been started again")
	}
	time.Sleep(recoverTime + 3*time.Second)
	after := alertsServed(f, 0x6000)
	f.record.printf("after: %d of %d requests were served", after, pingRequests)
	if after*4 < pingRequests {
		return fmt.Sprintf("RECOVER: %d of %d requests were served later than recover_s after the machines were back, %d before the final fault", after, pingRequests, before), nil
	}
	return "", nil
}
