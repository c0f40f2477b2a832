package main

import (
	"fmt"
	"time"
)

const (
	// drainTime is drain_ms: the time after its confirmation from which a server that leaves gets no requests.
	drainTime = 2 * time.Second
	// observed is how long after that the server is watched; it serves for many seconds after the confirmation.
	observed = 6 * time.Second
	// otherWriterSeq is the count in the other writer's ping.
	otherWriterSeq = 1000
)

// incompletePing has a server drain, and another writer send a ping of it without the fields version, slots and cold_left_ms.
func incompletePing(r *record, folder string, trouble bool) error {
	p, _, stop, err := deploy(r, folder, smallTenants)
	if err != nil {
		return err
	}
	defer stop()
	leaver, err := startRecords(p, 2)
	if err != nil {
		return err
	}
	defer leaver.close()
	time.Sleep(heartbeatInterval)
	if before := lookUp(r, p, 2*time.Second); before.served < before.sent || leaver.runCount() == 0 {
		return fmt.Errorf("%d of %d lookups are served, %d by the server that will leave", before.served, before.sent, leaver.runCount())
	}
	leaver.setState("draining")
	if !leaver.heartbeat() {
		return fmt.Errorf("no control process has confirmed that %s drains", leaver.id)
	}
	confirmed := time.Now()
	r.logf("it is confirmed that %s drains", leaver.id)
	leaver.markLate(confirmed.Add(drainTime))
	if trouble {
		ping := fmt.Sprintf(`{"service":"records","addr":%q,"zone":%q,"state":"ready","seq":%d,"born":%d}`, leaver.address, leaver.zone, otherWriterSeq, leaver.born)
		status, err := sendPing(p.seeds[0], leaver.id, []byte(ping))
		if err != nil {
			return err
		}
		r.logf("another writer's ping %s is answered %d", ping, status)
	}
	lookUp(r, p, drainTime+observed)
	late := leaver.lateRuns()
	r.logf("%d requests have reached %s later than %v after the confirmation", len(late), leaver.id, drainTime)
	if len(late) > 0 {
		r.breakf("DRAIN: %d requests have reached %s later than drain_ms after it was confirmed that it drains, the first %s", len(late), leaver.id, late[0])
	}
	return nil
}
