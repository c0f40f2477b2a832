package kwcorrelate

import "sync"

// Matcher matches responses of type T to pending requests by ID. It is safe for concurrent use.
type Matcher[T any] struct {
	mu      sync.Mutex
	pending map[string]chan T
}

// New returns an empty Matcher.
func New[T any]() *Matcher[T] {
	return &Matcher[T]{pending: make(map[string]chan T)}
}

// Expect registers a request. It returns the channel that receives the response and a function that cancels the
// request.
func (m *Matcher[T]) Expect(id string) (<-chan T, func()) {
	ch := make(chan T, 1)
	m.mu.Lock()
	m.pending[id] = ch
	m.mu.Unlock()
	return ch, func() { m.cancel(id, ch) }
}

// cancel removes a pending request unless its ID has been registered again.
func (m *Matcher[T]) cancel(id string, ch chan T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending[id] == ch {
		delete(m.pending, id)
	}
}

// Deliver passes a response to the request with that ID; it returns false if there is none.
func (m *Matcher[T]) Deliver(id string, response T) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch, ok := m.pending[id]
	if !ok {
		return false
	}
	delete(m.pending, id)
	ch <- response
	return true
}
