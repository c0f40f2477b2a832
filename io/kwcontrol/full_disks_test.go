package kwcontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwwal"
)

// refusingDisk is a folder whose disk refuses every change while it is full; a write may still leave half of its bytes.
type refusingDisk struct {
	kwwal.FileSystem
	full, torn, refusesRemoval atomic.Bool
}

type refusingFile struct {
	kwwal.File
	disk *refusingDisk
}

func (d *refusingDisk) Create(name string) (kwwal.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.FileSystem.Create(name)
	return refusingFile{f, d}, err
}

func (d *refusingDisk) Append(name string) (kwwal.File, error) {
	f, err := d.FileSystem.Append(name)
	return refusingFile{f, d}, err
}

func (d *refusingDisk) Rename(from, to string) error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return d.FileSystem.Rename(from, to)
}

func (d *refusingDisk) Remove(name string) error {
	if d.full.Load() && d.refusesRemoval.Load() {
		return syscall.ENOSPC
	}
	return d.FileSystem.Remove(name)
}

func (f refusingFile) Write(p []byte) (int, error) {
	if !f.disk.full.Load() {
		return f.File.Write(p)
	}
	n := 0
	if f.disk.torn.Load() {
		n, _ = f.File.Write(p[:len(p)/2])
	}
	return n, syscall.ENOSPC
}

func (f refusingFile) Truncate(size int64) error {
	if f.disk.full.Load() && f.disk.torn.Load() {
		return syscall.ENOSPC
	}
	return f.File.Truncate(size)
}

// diskCluster is a cluster of loops in this process.
type diskCluster struct {
	disks []*refusingDisk
	loops []*Loop
	ended chan error
}

// Send delivers a message at once.
func (c *diskCluster) Send(m kwraft.Message) {
	for _, l := range c.loops {
		if l != nil && l.cfg.Member == m.To {
			l.Deliver(m)
		}
	}
}

func startDiskCluster(t *testing.T, seed uint64) *diskCluster {
	t.Helper()
	c := &diskCluster{ended: make(chan error, 3)}
	voters := []kwid.NodeID{"a@1", "b@1", "c@1"}
	for i, id := range voters {
		disk := &refusingDisk{FileSystem: openFolder(t, t.TempDir())}
		log := kwraft.DefaultConfig(id, seed*10+uint64(i))
		log.MinElectionTimeout, log.HeartbeatInterval = 120*time.Millisecond, 25*time.Millisecond
		l, err := NewLoop(LoopConfig{
			Member: id, Files: disk, Bootstrap: true, InitialMembers: voters, Log: log, State: kwstatemachine.DefaultConfig(),
			Timing: DefaultTiming(), Events: kwevent.New(kwevent.Config{Node: id, Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard()}),
			Sender: c, CompactEntries: 15,
		})
		if err != nil {
			t.Fatal(err)
		}
		c.disks = append(c.disks, disk)
		c.loops = append(c.loops, l)
	}
	for _, l := range c.loops {
		go func() { c.ended <- l.Run() }()
	}
	return c
}

// declare has the leader take a change, and returns whether it was confirmed within a time.
func (c *diskCluster) declare(ctx context.Context, number int, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for ctx.Err() == nil {
		for _, l := range c.loops {
			callCtx, cancelCall := context.WithTimeout(ctx, 300*time.Millisecond)
			reply := l.Propose(callCtx, kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: 1, Content: []byte(fmt.Sprint("content ", number))}})
			cancelCall()
			if reply.Err == nil {
				return true
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// TestDisksFullInTurn guards against a log that no longer answers after each of its disks was full for a while, one after another: beside
// changes, elections and compactions, with writes that are refused whole or leave half of their bytes.
func TestDisksFullInTurn(t *testing.T) {
	t.Parallel()
	const recoverTimeout = 3 * time.Second
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			c := startDiskCluster(t, seed)
			rng := rand.New(rand.NewPCG(seed, 3))
			if !c.declare(t.Context(), 0, recoverTimeout) {
				t.Fatal("at the start: got no change confirmed, want one")
			}
			ctx, cancel := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for i := range 4 {
				callers.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						c.declare(ctx, 1000*i+n, 500*time.Millisecond)
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			for _, i := range append(rng.Perm(3), rng.Perm(3)...) {
				disk := c.disks[i]
				disk.torn.Store(rng.IntN(2) == 0)
				disk.refusesRemoval.Store(rng.IntN(2) == 0)
				disk.full.Store(true)
				time.Sleep(time.Duration(20+rng.IntN(900)) * time.Millisecond)
				disk.full.Store(false)
				time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
			}
			cancel()
			callers.Wait()
			if !c.declare(t.Context(), 1, recoverTimeout) {
				t.Errorf("all disks have room again: got no change confirmed within %v, want one", recoverTimeout)
			}
			select {
			case err := <-c.ended:
				t.Errorf("got a process that ended with %v, want all to run", err)
			default:
			}
			for _, l := range c.loops {
				l.Stop()
			}
		})
	}
}
