package share

// The heaps that an item can stand in.
const (
	heapReady = iota // by key, one for each customer and class
	heapLimit        // by the latest point at which a start still makes sense
	heaps
)

// heap is a binary heap of items that know their place in it, so that a
// cancelled job leaves at once and its memory isn't held until its turn.
type heap struct {
	which int
	items []*Item
}

func (h *heap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.which == heapLimit {
		if a.limit != b.limit {
			return a.limit < b.limit
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
	h.items[i].at[h.which], h.items[j].at[h.which] = i, j
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
	it.at[h.which] = len(h.items)
	h.items = append(h.items, it)
	h.up(len(h.items) - 1)
}

func (h *heap) remove(it *Item) {
	i, last := it.at[h.which], len(h.items)-1
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
