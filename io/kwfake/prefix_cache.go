package kwfake

import (
	"container/list"
	"sync"
)

// prefixBlockTokens is the block size of the prefix cache, in tokens.
const prefixBlockTokens = 16

// prefixCache is an LRU set of the prompt prefixes that have been computed, in whole blocks.
type prefixCache struct {
	mu        sync.Mutex
	maxBlocks int
	recency   *list.List
	elements  map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxBlocks: tokens / prefixBlockTokens, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// lookUp returns the number of leading tokens that are cached, and adds the blocks that are not. It never counts the
// last token, which the engine must always compute to produce an output.
func (p *prefixCache) lookUp(inputs []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	cached := 0
	missed := false
	var digest uint64
	for at := prefixBlockTokens; at < len(inputs); at += prefixBlockTokens {
		for _, h := range inputs[at-prefixBlockTokens : at] {
			digest = mix(digest ^ h)
		}
		if !p.touch(digest) {
			missed = true
		}
		if !missed {
			cached = at
		}
	}
	return cached
}

// touch marks a prefix as most recently used, adding it if necessary, and reports whether it was cached.
func (p *prefixCache) touch(digest uint64) bool {
	if elem, ok := p.elements[digest]; ok {
		p.recency.MoveToFront(elem)
		return true
	}
	if p.maxBlocks == 0 {
		return false
	}
	p.elements[digest] = p.recency.PushFront(digest)
	if p.recency.Len() > p.maxBlocks {
		oldest := p.recency.Back()
		p.recency.Remove(oldest)
		delete(p.elements, oldest.Value.(uint64))
	}
	return false
}
