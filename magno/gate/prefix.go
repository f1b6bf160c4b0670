package gate

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxPrefixes bounds the remembered prefixes. An engine's memory holds about that many shared
// prefixes of a few hundred tokens.
const maxPrefixes = 256

// prefixCache tracks which shared prompt prefixes the engine has processed.
type prefixCache struct {
	lru *simplelru.LRU[prefixKey, struct{}]
}

type prefixKey struct {
	name string
	hash uint64
}

func newPrefixCache() *prefixCache {
	lru, _ := simplelru.NewLRU[prefixKey, struct{}](maxPrefixes, nil) // fails only for sizes under 1
	return &prefixCache{lru}
}

func (p *prefixCache) has(name string, hash uint64) bool {
	return p.lru.Contains(prefixKey{name, hash})
}

func (p *prefixCache) add(name string, hash uint64) {
	if hash != 0 {
		p.lru.Add(prefixKey{name, hash}, struct{}{})
	}
}
