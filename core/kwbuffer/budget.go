package kwbuffer

import (
	"sync"

	"knapweedproxy/core/kwcode"
)

// DefaultBytes is the size of the budget of a process that does not know its memory.
const DefaultBytes = 32 << 20

// overdraft times the size of a budget is what its accounts may hold while each of them keeps to its share.
const overdraft = 2

// memoryParts is the part of a process's memory that a budget takes. Accounts can hold twice the budget, buffers that grow are copied, and
// the collector needs room for what is no longer used.
const memoryParts = 8

// BytesFor returns the size of the budget of a process with some memory, in bytes; 0 means unknown.
func BytesFor(memory int64) int64 {
	if memory <= 0 {
		return DefaultBytes
	}
	return memory / memoryParts
}

// Budget is the memory for what a process buffers, shared by its accounts. It answers a load of many requests whose servers or callers
// send more than is sound, all at once: each within its own limit, but too much together. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// size and used are in bytes.
	size, used int64
	accounts   int64
	refusals   int64
}

// New returns a budget of some bytes; 0 means DefaultBytes.
func New(size int64) *Budget {
	if size <= 0 {
		size = DefaultBytes
	}
	return &Budget{size: size}
}

// Size returns the size of the budget in bytes.
func (b *Budget) Size() int64 { return b.size }

// Open returns an account for one request and its answers; the caller must close it.
func (b *Budget) Open() *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts++
	return &Account{budget: b}
}

// OpenReclaiming is Open for an account that calls reclaim when it is refused to grow, without a lock held. Reclaim ends another account, or
// returns false if none is worth less than this one.
func (b *Budget) OpenReclaiming(reclaim func() bool) *Account {
	a := b.Open()
	a.reclaim = reclaim
	return a
}

// HasRoom reports whether more may be begun. Those that have begun may still grow to their share.
func (b *Budget) HasRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used < b.size
}

// Fits reports whether n bytes more would stay within the budget, or nothing else is held. It answers announcements of much that may never come:
// they are refused before anything of them is read.
func (b *Budget) Fits(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used == 0 || b.used+n <= b.size
}

// Usage is the state of a Budget: the bytes held, and how often an account was refused to grow.
type Usage struct {
	Used, Refusals int64
}

// Usage returns the present state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Used: b.used, Refusals: b.refusals}
}

// Account is what one request and its answers hold of a Budget. A nil account is not limited. It is safe for concurrent use.
type Account struct {
	budget *Budget
	held   int64
	closed bool
	// reclaim is nil unless the account makes room for itself.
	reclaim func() bool
}

// Grow takes n bytes more. While the budget is used up, it refuses an account that would exceed an even share of it: so that what is
// sound and small goes on. All accounts together never hold more than overdraft times the budget.
func (a *Account) Grow(n int64) error {
	if a == nil || n <= 0 {
		return nil
	}
	err := a.grow(n)
	for err != nil && a.reclaim != nil && a.reclaim() {
		err = a.grow(n)
	}
	return err
}

func (a *Account) grow(n int64) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return kwcode.New(kwcode.BuffersFull, "the request is over")
	}
	if used := b.used + n; used > b.size && (a.held+n > b.size/b.accounts || used > overdraft*b.size) {
		b.refusals++
		return kwcode.New(kwcode.BuffersFull, "%d bytes are buffered, %d of them for this request", b.used, a.held)
	}
	b.used += n
	a.held += n
	return nil
}

// Shrink gives back n bytes that Grow has taken.
func (a *Account) Shrink(n int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.held)
	b.used -= n
	a.held -= n
}

// Close gives back all that the account holds; it takes nothing more.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	b.used -= a.held
	a.held = 0
	b.accounts--
}
