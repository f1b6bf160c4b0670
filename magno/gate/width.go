package gate

import "magnoliastall.example/magno"

const (
	// leastWidth and mostWidth bound the cold loads under way at one engine; it
	// takes four at most.
	leastWidth = 1
	mostWidth  = 4
	// widthStep is what a load in good time adds, widthCut what a slow one
	// leaves.
	widthStep = 0.25
	widthCut  = 0.6
	// slowLoad is how many times the shortest load one may take that was not
	// slowed by others; reports come every 30 ms or so.
	slowLoad = 1.5
)

// width decides how many adapters one engine loads from the weight store at
// once.
//
// Load pattern: most of the time few engines load, and the store has room for
// more; after a restart all load at once, and beyond its room every load takes
// longer in proportion. With one load at a time an engine to which several new
// adapters move at once serves the last of them a second late, though the store
// is idle. The store tells nobody how busy it is, but its loads do: the width
// grows while they take their usual time, and falls when they don't.
type width struct {
	now float64
	// best is the shortest load seen, zero before the first.
	best magno.Millis
}

func (w *width) limit() int { return int(max(w.now, leastWidth)) }

// loaded takes how long a load from the store took.
func (w *width) loaded(took magno.Millis) {
	if w.best == 0 || took < w.best {
		w.best = max(took, 1)
	}
	if float64(took) > slowLoad*float64(w.best) {
		w.now = max(w.now*widthCut, leastWidth)
		return
	}
	w.now = min(max(w.now, leastWidth)+widthStep, mostWidth)
}
