package route

// index maps an adapter's hash to the targets that reported it.
type index map[uint32][]*peer

// update replaces the hashes that p reported before by those that it reports now; both
// lists are in ascending order.
func (x index) update(p *peer, old, current []uint32) {
	for len(old) > 0 || len(current) > 0 {
		switch {
		case len(current) == 0 || (len(old) > 0 && old[0] < current[0]):
			x.remove(old[0], p)
			old = old[1:]
		case len(old) == 0 || current[0] < old[0]:
			x[current[0]] = append(x[current[0]], p)
			current = current[1:]
		default:
			old, current = old[1:], current[1:]
		}
	}
}

func (x index) remove(hash uint32, p *peer) {
	list := x[hash]
	for i, other := range list {
		if other == p {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(x, hash)
		return
	}
	x[hash] = list
}
