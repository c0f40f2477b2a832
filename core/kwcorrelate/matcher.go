package kwcorrelate

import "sync"

// Matcher pairs answers of type T with waiting requests by id; it is safe for concurrent use.
type Matcher[T any] struct {
	mu      sync.Mutex
	waiting map[string]chan T
}

// New returns an empty Matcher.
func New[T any]() *Matcher[T] {
	return &Matcher[T]{waiting: make(map[string]chan T)}
}

// Expect registers a request and returns the channel that gets its answer, and a function that ends the wait.
func (m *Matcher[T]) Expect(id string) (<-chan T, func()) {
	ch := make(chan T, 1)
	m.mu.Lock()
	m.waiting[id] = ch
	m.mu.Unlock()
	return ch, func() { m.forget(id, ch) }
}

func (m *Matcher[T]) forget(id string, ch chan T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting[id] == ch {
		delete(m.waiting, id)
	}
}

// Deliver gives an answer to the request with that id; it returns false if none waits.
func (m *Matcher[T]) Deliver(id string, answer T) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch, ok := m.waiting[id]
	if !ok {
		return false
	}
	delete(m.waiting, id)
	ch <- answer
	return true
}
