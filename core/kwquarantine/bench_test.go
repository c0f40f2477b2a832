package kwquarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// BenchmarkWatch measures the leader's work for one watch of an entry while hundreds of parts are suspects.
func BenchmarkWatch(b *testing.B) {
	for _, perCrash := range []int{0, 1, 10} {
		b.Run(fmt.Sprint("watches per crash ", perCrash), func(b *testing.B) {
			r := NewRegistry(DefaultConfig())
			now := testStart
			record := func(i int) {
				parts := []kwid.PromptPartID{"first", kwid.PromptPartID(fmt.Sprint(i % maxSuspects)), kwid.PromptPartID(fmt.Sprint(i % 7))}
				id := kwmembership.Process{StartedMillis: kwmembership.StartMillis(i / 10)}
				r.RecordCrash(now, Evidence{Crash: id, Request: kwid.RequestID(fmt.Sprint(i)), Parts: parts})
			}
			for i := range maxSuspects {
				record(i)
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(20 * time.Microsecond)
				if perCrash > 0 && i%perCrash == 0 {
					record(i)
				}
				r.RecordSound(now, []Sound{{Part: "first", Age: time.Second}})
				r.RecordServed(now, 0)
				r.Decide(now)
				r.Suspects(now)
				r.Quarantined(now)
			}
		})
	}
}

func BenchmarkDigestRequest(b *testing.B) {
	for _, size := range []int{1 << 10, 16 << 10} {
		b.Run(fmt.Sprint("body of ", size), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				DigestRequest("host.example", "/v1/path?page=2", "workspace", body)
			}
		})
	}
}

func BenchmarkCheckRequest(b *testing.B) {
	for _, cutOff := range []bool{false, true} {
		b.Run(fmt.Sprint("cut off ", cutOff), func(b *testing.B) {
			g, now := NewGuard(DefaultGuardConfig()), testStart
			var held []HeldRequest
			for i := range maxHeldRequests {
				held = append(held, HeldRequest{Digest: testDigest(fmt.Sprint(i)), Remaining: time.Hour})
			}
			g.ApplyRequests(now, nil, held, false)
			if cutOff {
				now = now.Add(time.Minute)
			}
			other := testDigest("other")
			b.ReportAllocs()
			for b.Loop() {
				g.CheckRequest(now, other)
			}
		})
	}
}

// BenchmarkDecideRequests measures the leader's work for a report of a crash while thousands of requests are suspects.
func BenchmarkDecideRequests(b *testing.B) {
	r, now := NewRegistry(DefaultConfig()), testStart
	for server := range 200 {
		for i := range 80 {
			r.RecordCrash(now, Evidence{Crash: testProcess(server), Digest: testDigest(fmt.Sprint(server%20, i))})
		}
		now = now.Add(20 * time.Millisecond)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r.RecordCrash(now, Evidence{Crash: testProcess(1000 + i), Digest: testDigest(fmt.Sprint("other ", i))})
		r.Decide(now)
		r.SuspectRequests(now)
		r.HeldRequests(now)
	}
}

// BenchmarkDecideContested measures a decision on 4000 requests that are on three crashes each, or on eight of 64 with 512 on a crash.
func BenchmarkDecideContested(b *testing.B) {
	const requests = 4000
	for _, c := range []struct{ crashes, each int }{{3, 3}, {24, 3}, {64, 8}} {
		b.Run(fmt.Sprint(c.each, " of ", c.crashes, " crashes"), func(b *testing.B) {
			digests := make([]kwid.RequestDigest, requests)
			for i := range digests {
				digests[i] = testDigest(fmt.Sprint(i))
			}
			for b.Loop() {
				b.StopTimer()
				r, now, random := NewRegistry(DefaultConfig()), testStart, rand.New(rand.NewPCG(1, 1))
				on := make([][]kwid.RequestDigest, c.crashes)
				for _, digest := range digests {
					for _, crash := range random.Perm(c.crashes)[:c.each] {
						on[crash] = append(on[crash], digest)
					}
				}
				for crash := range on {
					for _, digest := range on[crash] {
						r.RecordCrash(now, Evidence{Crash: testProcess(crash), Request: "r", Digest: digest})
					}
					now = now.Add(250 * time.Millisecond)
				}
				b.StartTimer()
				r.Decide(now)
			}
		})
	}
}

// BenchmarkRecordCrashed measures the crash of one of 30 processes with 500 open answers each.
func BenchmarkRecordCrashed(b *testing.B) {
	for _, requests := range []int{15000, 1} {
		b.Run(fmt.Sprint("requests ", requests), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				g, now := NewGuard(DefaultGuardConfig()), testStart
				for i := range 15000 {
					g.RecordAnswered(now.Add(time.Duration(i/30)*time.Millisecond), testProcess(i%30), testDigest(fmt.Sprint(i%requests)))
				}
				b.StartTimer()
				g.RecordCrashed(now.Add(600*time.Millisecond), testProcess(3), nil)
			}
		})
	}
}

// BenchmarkDecideManyParts measures a decision while an attacker's prompts put as many parts as are kept on many crashes.
func BenchmarkDecideManyParts(b *testing.B) {
	const crashes, promptsPerCrash, partsPerPrompt = 32, 64, 16
	r, now := NewRegistry(DefaultConfig()), testStart
	for c := range crashes {
		for p := range promptsPerCrash {
			var parts []kwid.PromptPartID
			for i := range partsPerPrompt {
				parts = append(parts, kwid.PromptPartID(fmt.Sprint("part-", (p*partsPerPrompt+i)%maxSuspects)))
			}
			r.RecordCrash(now, Evidence{Crash: processOf(c), Request: kwid.RequestID(fmt.Sprint(c, "-", p)), Parts: parts})
		}
		now = now.Add(50 * time.Millisecond)
	}
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.newEvidence = true
		r.Decide(now)
	}
}
