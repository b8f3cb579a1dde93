package graphql

import (
	"container/list"
	"sync"
)

// entryCost is the approximate overhead of an entry besides its key and document, in bytes.
const entryCost = 256

// cache is an LRU cache of documents, bounded in bytes.
type cache struct {
	mu                  sync.Mutex
	maxBytes, usedBytes int
	entries             map[string]*list.Element
	order               *list.List // most recently used first
}

type entry struct {
	key      string
	document *document
}

func newCache(maxBytes int) *cache {
	return &cache{maxBytes: maxBytes, entries: map[string]*list.Element{}, order: list.New()}
}

func (c *cache) get(key []byte) *document {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[string(key)]
	if e == nil {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(*entry).document
}

// put adds a document and evicts the least recently used entries to make room. It ignores a key that
// exists and an entry that is larger than the whole cache.
func (c *cache) put(key string, d *document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &entry{key, d}
	if c.entries[key] != nil || e.size() > c.maxBytes {
		return
	}
	c.entries[key] = c.order.PushFront(e)
	for c.usedBytes += e.size(); c.usedBytes > c.maxBytes; {
		last := c.order.Remove(c.order.Back()).(*entry)
		delete(c.entries, last.key)
		c.usedBytes -= last.size()
	}
}

func (e *entry) size() int { return entryCost + len(e.key) + e.document.size() }
