package kwdirectcontrol

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdiscovery"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
	"knapweedproxy/io/kwtime"
)

const (
	// discoveryTick is the interval between two checks whether records are to be exchanged.
	discoveryTick = 200 * time.Millisecond
	// exchangeTimeout bounds an exchange of records, so that it has ended before the next with the same address.
	exchangeTimeout = 600 * time.Millisecond
)

// discovery exchanges with other control processes what each knows of the replicated log.
type discovery struct {
	server *Server
	mu     sync.Mutex
	// directory and loggedLeader are guarded by mu.
	directory    *kwdiscovery.Directory
	loggedLeader string
}

func newDiscovery(s *Server) *discovery {
	cfg := kwdiscovery.Config{Self: s.cfg.Address, AddressOf: func(id kwid.NodeID) string { return string(kwcontrol.NodeOf(id)) }}
	return &discovery{server: s, directory: kwdiscovery.NewDirectory(cfg, s.cfg.Seeds)}
}

// run exchanges records until the server stops.
func (d *discovery) run() {
	for d.server.ctx.Err() == nil {
		d.mu.Lock()
		addresses := d.directory.Exchanges(time.Now())
		d.mu.Unlock()
		for _, address := range addresses {
			d.server.background(func() { d.exchange(address) })
		}
		kwtime.Sleep(d.server.ctx, discoveryTick)
	}
}

// exchange sends what this process knows to another one and learns what that knows. A failed exchange is repeated by the next.
func (d *discovery) exchange(address string) {
	ctx, cancel := context.WithTimeout(d.server.ctx, exchangeTimeout)
	defer cancel()
	var reply kwdiscovery.Record
	if err := d.server.pool.Call(ctx, address, kwdirectproto.KindExchangeRecords, d.record(), &reply); err == nil {
		d.learn(func(dir *kwdiscovery.Directory) bool { return dir.Learn(reply) })
	}
}

func (d *discovery) record() kwdiscovery.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.Record()
}

// handle answers an exchange.
func (d *discovery) handle(_ context.Context, body kwtcprpc.Body) (any, error) {
	var r kwdiscovery.Record
	if err := body.Decode(&r); err != nil {
		return nil, err
	}
	d.learn(func(dir *kwdiscovery.Directory) bool { return dir.Learn(r) })
	return d.record(), nil
}

// learn applies update to the directory; if that brings news, calls to the leader go by them.
func (d *discovery) learn(update func(*kwdiscovery.Directory) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !update(d.directory) {
		return
	}
	r := d.directory.Record()
	d.server.leaderClient.SetMembers(r.Members)
	if r.Leader == "" || r.Leader == d.loggedLeader {
		return
	}
	d.loggedLeader = r.Leader
	if r.Leader != d.server.cfg.Address {
		d.server.leaderClient.SetHint(r.Leader)
	}
	d.server.deps.Events.Emit(kwevent.LeaderFound, "", kwevent.F("leader", r.Leader), kwevent.F("term", uint64(r.Term)),
		kwevent.F("members", r.Members))
}

// setSeeds replaces the addresses that the settings name.
func (d *discovery) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory.SetSeeds(seeds)
}

// updateOwn takes over the state of this process's member of the log, and reports whether it has to ask the leader to add it.
func (d *discovery) updateOwn(status kwraft.Status, position kwraft.Position) (needsToJoin bool) {
	d.learn(func(dir *kwdiscovery.Directory) bool { return dir.UpdateOwn(status, position) })
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.NeedsToJoin(status, position)
}

// hear learns from messages of the log.
func (d *discovery) hear(messages []kwraft.Message) {
	for _, m := range messages {
		d.learn(func(dir *kwdiscovery.Directory) bool { return dir.Hear(m) })
	}
}

// notLeader returns a NotLeader error that says where to ask next.
func (d *discovery) notLeader() *kwcode.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	hint := d.directory.Hint()
	return kwcode.New(kwcode.NotLeader, "%s does not lead; ask %q", d.server.cfg.Address, hint).WithEndpoint(hint)
}
