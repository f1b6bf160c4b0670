package share

// The kinds of heap that hold queued items.
const (
	heapReady  = iota // ordered by key; one per customer and length class
	heapExpiry        // ordered by latestStart; one per queue
	heapCount
)

// heap is a binary heap whose items store their index in it, so that a cancelled
// job is removed at once and does not use memory until it reaches the top.
type heap struct {
	kind  int
	items []*Item
}

func (h *heap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.kind == heapExpiry {
		if a.latestStart != b.latestStart {
			return a.latestStart < b.latestStart
		}
		return a.seq < b.seq
	}
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func (h *heap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.kind], h.items[j].heapIndex[h.kind] = i, j
}

func (h *heap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *heap) push(it *Item) {
	it.heapIndex[h.kind] = len(h.items)
	h.items = append(h.items, it)
	h.up(len(h.items) - 1)
}

func (h *heap) remove(it *Item) {
	i, last := it.heapIndex[h.kind], len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *heap) top() *Item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}
