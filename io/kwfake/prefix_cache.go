package kwfake

import (
	"container/list"
	"sync"
)

// prefixBlock is the number of tokens that are cached together.
const prefixBlock = 16

// prefixCache remembers which prompt prefixes were computed, within a bound, least recently used out first.
type prefixCache struct {
	mu     sync.Mutex
	blocks int
	order  *list.List
	known  map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{blocks: tokens / prefixBlock, order: list.New(), known: make(map[uint64]*list.Element)}
}

// hit returns how many leading tokens are cached, always fewer than all, and remembers the rest.
func (p *prefixCache) hit(inputs []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	cached := 0
	missed := false
	var digest uint64
	for at := prefixBlock; at < len(inputs); at += prefixBlock {
		for _, h := range inputs[at-prefixBlock : at] {
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

// touch moves a prefix to the front and tells whether it was there.
func (p *prefixCache) touch(digest uint64) bool {
	if elem, ok := p.known[digest]; ok {
		p.order.MoveToFront(elem)
		return true
	}
	if p.blocks == 0 {
		return false
	}
	p.known[digest] = p.order.PushFront(digest)
	if p.order.Len() > p.blocks {
		oldest := p.order.Back()
		p.order.Remove(oldest)
		delete(p.known, oldest.Value.(uint64))
	}
	return false
}
