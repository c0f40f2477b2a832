package kwbuffer

import (
	"math/rand/v2"
	"testing"

	"knapweedproxy/core/kwcode"
)

// TestAccountsStayWithinTwiceTheBudget replays answers without end beside sound ones, with any order of growth and ends.
func TestAccountsStayWithinTwiceTheBudget(t *testing.T) {
	const size, soundBytes = 1 << 20, 1 << 10
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := New(size)
		open := make(map[*Account]int64)
		for range 3000 {
			switch a := anyAccount(rng, open); {
			case a == nil || rng.IntN(8) == 0 && len(open) < 512:
				open[b.Open()] = 0
			case rng.IntN(40) == 0:
				a.Close()
				delete(open, a)
			default:
				n := rng.Int64N(64 << 10)
				if a.Grow(n) == nil {
					open[a] += n
				} else if open[a]+n <= soundBytes && b.Usage().Used+n <= overdraft*size {
					t.Fatalf("seed %d: an account of %d bytes was refused %d more", seed, open[a], n)
				}
			}
			held := int64(0)
			for _, n := range open {
				held += n
			}
			if used := b.Usage().Used; used != held || held > overdraft*size {
				t.Fatalf("seed %d: got %d bytes used and %d held, want the same and at most %d", seed, used, held, overdraft*size)
			}
		}
		for a := range open {
			a.Close()
		}
		if got := b.Usage().Used; got != 0 {
			t.Fatalf("seed %d: got %d bytes used after all accounts are closed, want 0", seed, got)
		}
	}
}

func anyAccount(rng *rand.Rand, open map[*Account]int64) *Account {
	skip := 0
	if len(open) > 0 {
		skip = rng.IntN(len(open))
	}
	for a := range open {
		if skip--; skip < 0 {
			return a
		}
	}
	return nil
}

func TestClosedAccountTakesNothing(t *testing.T) {
	b := New(100)
	a := b.Open()
	if err := a.Grow(60); err != nil {
		t.Fatal(err)
	}
	a.Shrink(10)
	a.Close()
	a.Close()
	a.Shrink(10)
	if err := a.Grow(1); !kwcode.Is(err, kwcode.BuffersFull) {
		t.Errorf("got %v, want %d", err, kwcode.BuffersFull)
	}
	if got := b.Usage().Used; got != 0 || !b.HasRoom() {
		t.Errorf("got %d bytes used, want 0", got)
	}
	var unlimited *Account
	if err := unlimited.Grow(1 << 40); err != nil {
		t.Errorf("without a budget: got %v, want no error", err)
	}
}
