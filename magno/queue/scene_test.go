package queue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/agenda"
)

const (
	sceneSlots   = 6
	sceneQueue   = 24
	sceneAim     = 300
	scenePatient = 3000
	// sceneLink is the time that a message between an entry and an upstream takes, and helloEvery the
	// time between two hellos.
	sceneLink  = 1
	helloEvery = 800
	// sceneSends bounds the sends of a request, as maxReplicasTried does in entry/relay.
	sceneSends = 3
	// sceneRetryAfter is the Retry-After without the package, busyRetryAfter of entry/relay.
	sceneRetryAfter = 200
	// sceneRetries is the part of the requests that the retry budget allows as retries.
	sceneRetries = 0.2
)

// scene replays requests of several entries at upstreams that shed, in virtual time.
type scene struct {
	clock  *magno.Clock
	rand   *rand.Rand
	ups    []*sceneUpstream
	fronts []*sceneFront
	events eventHeap
	seq    int
	// direct is the policy without the package: the upstream with the least outstanding by own count,
	// at once, and one more after a shed.
	direct bool
	// slow reports whether an upstream works slowly at a time; nil for single slow requests.
	slow func(up int, at magno.Millis) bool
	// noRetries is true if the retry budget is used up.
	noRetries         bool
	retries, requests float64
	reqs              []*sceneReq
	// returns is true if callers return once after a refusal.
	returns bool
	// errorShare is the part of the requests to which an upstream answers with an error status.
	errorShare float64
	// answers holds the times of the upstreams' answers, errors included.
	answers []magno.Millis
	// noHellos is true while entries don't hear of each other.
	noHellos bool
	// resent counts the sends after the first.
	resent int
}

type sceneUpstream struct {
	nr, busy int
	queued   []sceneWork
	// down is true while it refuses connections, gone while the list doesn't name it.
	down, gone bool
	// leaving is true while it gets no new requests.
	leaving bool
	// hung is true while it accepts requests and answers none.
	hung bool
	// life counts the restarts.
	life, sheds int
}

// sceneWork is a request in an upstream's queue.
type sceneWork struct {
	req    *sceneReq
	finish func(sceneEnd)
}

// sceneEnd is what an entry hears of a request that it sent.
type sceneEnd int

const (
	endAnswered sceneEnd = iota
	endShed
	endUnsent // the connection was refused
	endBroken // it may have run
	endError  // it was answered with an error status
)

type sceneFront struct {
	nr      int
	weight  float64
	queue   *Queue
	out     []int
	waiting map[string]*sceneReq
	agenda  agenda.Agenda
	dead    bool
	frozen  bool
	wakeAt  magno.Millis
}

type sceneReq struct {
	id      string
	front   *sceneFront
	at, aim magno.Millis
	// received is when the entry received it: later than at if the caller has returned.
	received, queuedAt magno.Millis
	returned           bool
	tried              []string
	sends              int
	// answered is zero without an answer.
	answered magno.Millis
	// failed is true if an upstream ended under it.
	refused, failed bool
	// inVain is true if it was refused after it had waited for more than half of its time, toEnd if
	// less than a tenth was left.
	inVain, toEnd bool
}

type event struct {
	at  magno.Millis
	seq int
	run func()
}
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newScene(seed uint64, fronts, ups int, direct bool) *scene {
	s := &scene{clock: magno.NewClock(magno.Hour), rand: rand.New(rand.NewPCG(seed, 7)), direct: direct}
	for i := range ups {
		s.ups = append(s.ups, &sceneUpstream{nr: i})
	}
	for i := range fronts {
		f := &sceneFront{nr: i, weight: 1 + 9*math.Pow(s.rand.Float64(), 3), out: make([]int, ups), waiting: map[string]*sceneReq{}}
		f.queue = &Queue{Clock: s.clock, Seed: seed + uint64(i)}
		f.queue.SetPeers(fronts, 0)
		f.agenda.Clock = s.clock
		s.fronts = append(s.fronts, f)
	}
	s.update()
	s.at(helloEvery, s.hellos)
	return s
}

func (s *scene) name(up int) string { return fmt.Sprintf("u%d-%d", up, s.ups[up].life) }

func (s *scene) at(delay magno.Millis, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.clock.Now() + max(delay, 0), seq: s.seq, run: run})
}

// run runs until the given time since the start.
func (s *scene) run(until magno.Millis) {
	for len(s.events) > 0 && s.events[0].at <= magno.Hour+until {
		e := heap.Pop(&s.events).(event)
		s.clock.Advance(e.at - s.clock.Now())
		e.run()
	}
	s.clock.Advance(magno.Hour + until - s.clock.Now())
}

// hellos tells each queue the demand of all.
func (s *scene) hellos() {
	s.at(helloEvery, s.hellos)
	if s.noHellos {
		return
	}
	sum, alive := 0.0, 0
	for _, f := range s.fronts {
		if !f.dead && !f.frozen {
			sum += f.queue.Stats().Demand
			alive++
		}
	}
	for _, f := range s.fronts {
		if !f.dead && !f.frozen && sum > 0 {
			f.queue.SetPeers(alive, f.queue.Stats().Demand/sum)
		}
	}
}

// load makes requests at level times the capacity from begin to end, at entries by their weight.
func (s *scene) load(begin, end magno.Millis, level func(at magno.Millis) float64) {
	sum := 0.0
	for _, f := range s.fronts {
		sum += f.weight
	}
	mean := 60 * (0.85 + 0.15*2.5)
	capacity := float64(len(s.ups)*sceneSlots) / mean
	for at := float64(begin); at < float64(end); {
		at += s.rand.ExpFloat64() / (capacity * level(magno.Millis(at)))
		s.arrive(magno.Millis(at), s.drawFront(sum))
	}
}

// loadBursts makes requests at a rate per second until end, in bursts at one entry of 3 on average
// within 30 ms.
func (s *scene) loadBursts(end magno.Millis, rate func(at magno.Millis) float64) {
	const size, span = 3, 30
	sum := 0.0
	for _, f := range s.fronts {
		sum += f.weight
	}
	for at := 0.0; at < float64(end); {
		at += s.rand.ExpFloat64() * size * 1000 / rate(magno.Millis(at))
		f := s.drawFront(sum)
		for {
			s.arrive(magno.Millis(at+s.rand.Float64()*span), f)
			if s.rand.Float64() >= 1-1.0/size {
				break
			}
		}
	}
}

// drawFront draws an entry by its weight, of the given sum of all weights.
func (s *scene) drawFront(sum float64) *sceneFront {
	x := s.rand.Float64() * sum
	var f *sceneFront
	for _, f = range s.fronts {
		if x -= f.weight; x < 0 {
			break
		}
	}
	return f
}

// loadHalves makes requests until end. Hot is true if one entry has 100 times as many as the others
// have, and another one in the second half.
func (s *scene) loadHalves(end magno.Millis, level func(at magno.Millis) float64, hot bool) {
	if !hot {
		s.load(0, end, level)
		return
	}
	for i := range 2 {
		for _, f := range s.fronts {
			f.weight = 1
		}
		s.fronts[i].weight = 100
		s.load(magno.Millis(i)*end/2, magno.Millis(i+1)*end/2, level)
	}
}

// arrive makes one request at a time since the start.
func (s *scene) arrive(at magno.Millis, f *sceneFront) {
	r := &sceneReq{id: fmt.Sprint("r", len(s.reqs)), front: f, at: magno.Hour + at, received: magno.Hour + at, aim: sceneAim}
	s.reqs = append(s.reqs, r)
	s.at(r.at-s.clock.Now(), func() { s.offer(r) })
}

func (s *scene) offer(r *sceneReq) {
	s.requests++
	for r.front.dead {
		r.front = s.fronts[s.rand.IntN(len(s.fronts))] // the caller's next connection
	}
	if s.direct {
		s.sendDirect(r)
		return
	}
	s.enqueue(r)
}

func (s *scene) enqueue(r *sceneReq) {
	q := r.front.queue
	it := Item{ID: r.id, StartBy: r.received + r.aim - min(q.Stats().Usual, r.aim/2), Deadline: r.received + scenePatient, Avoid: r.tried}
	r.queuedAt = s.clock.Now()
	if refusal := q.Offer(it); refusal != nil {
		s.refuse(r, refusal.After)
		return
	}
	r.front.waiting[r.id] = r
	if r.returned && r.sends == 0 {
		s.at(r.at+scenePatient-s.clock.Now(), func() { s.leaveCaller(r) })
	}
	s.next(r.front)
}

// leaveCaller has a caller leave that still waits.
func (s *scene) leaveCaller(r *sceneReq) {
	if r.front.waiting[r.id] == r && r.front.queue.Cancel(r.id) {
		delete(r.front.waiting, r.id)
		r.refused, r.inVain, r.toEnd = true, true, true
	}
}

// refuse refuses a request. Its caller may return once, after at most a third of the time that it has
// left, to any entry, which can't tell it from a first request.
func (s *scene) refuse(r *sceneReq, after magno.Millis) {
	now := s.clock.Now()
	left := r.at + scenePatient - now
	if now-r.queuedAt > (r.at+scenePatient-r.queuedAt)/2 && r.queuedAt > 0 {
		r.inVain = true
		r.toEnd = left < scenePatient/10
	}
	if !s.returns || r.returned || left <= 0 {
		r.refused = true
		return
	}
	at := r.front.agenda.Promise(0, now+after, now+left/3)
	r.returned, r.tried, r.sends, r.queuedAt = true, nil, 0, 0
	s.at(min(at-now, left/3), func() {
		r.front, r.received = s.fronts[s.rand.IntN(len(s.fronts))], s.clock.Now()
		s.offer(r)
	})
}

// add adds up outcomes.
func (o *outcome) add(other outcome) {
	o.onTime += other.onTime
	o.late += other.late
	o.refused += other.refused
	o.failed += other.failed
	o.open += other.open
	o.inVain += other.inVain
	o.toEnd += other.toEnd
	o.sumTook += other.sumTook
}

// next carries out the decisions of an entry's queue.
func (s *scene) next(f *sceneFront) {
	if f.dead || f.frozen {
		return
	}
	d := f.queue.Next()
	for _, st := range d.Starts {
		r := f.waiting[st.ID]
		delete(f.waiting, st.ID)
		s.sendQueued(f, r, st.Upstream)
	}
	for _, rej := range d.Rejections {
		r := f.waiting[rej.ID]
		delete(f.waiting, rej.ID)
		s.refuse(r, rej.Refusal.After)
	}
	if d.Wake > 0 && (f.wakeAt <= s.clock.Now() || d.Wake < f.wakeAt) {
		f.wakeAt = d.Wake
		s.at(d.Wake-s.clock.Now(), func() { s.next(f) })
	}
}

func (s *scene) sendQueued(f *sceneFront, r *sceneReq, name string) {
	up := slices.IndexFunc(s.ups, func(u *sceneUpstream) bool { return s.name(u.nr) == name })
	if r.sends > 0 && !s.takeRetry() {
		f.queue.Done(r.id, Result{Void: true})
		s.refuse(r, sceneRetryAfter)
		return
	}
	s.countSend(r, name)
	sentAt := s.clock.Now()
	s.send(r, up, name, func(end sceneEnd) {
		if f.dead {
			return
		}
		f.queue.Done(r.id, Result{Took: s.clock.Now() - sentAt, Shed: end == endShed, OK: end == endAnswered || end == endError})
		switch {
		case end == endAnswered:
			s.answer(r)
		case end == endBroken || end == endError:
			r.failed = true
		case r.sends < sceneSends:
			s.enqueue(r)
		default:
			s.refuse(r, sceneRetryAfter)
		}
		s.next(f)
	})
}

func (s *scene) answer(r *sceneReq) {
	r.answered = s.clock.Now()
	r.front.agenda.Served()
}

func (s *scene) countSend(r *sceneReq, name string) {
	if r.sends > 0 {
		s.resent++
	}
	r.sends++
	r.tried = append(r.tried, name)
}

func (s *scene) takeRetry() bool {
	if s.noRetries || s.retries+1 > sceneRetries*s.requests+10 {
		return false
	}
	s.retries++
	return true
}

func (s *scene) sendDirect(r *sceneReq) {
	f, best := r.front, -1
	for _, i := range s.rand.Perm(len(s.ups)) {
		if !slices.Contains(r.tried, s.name(i)) && !s.ups[i].gone && !s.ups[i].leaving && (best < 0 || f.out[i] < f.out[best]) {
			best = i
		}
	}
	if best < 0 || r.sends == 2 || (r.sends > 0 && !s.takeRetry()) {
		s.refuse(r, sceneRetryAfter)
		return
	}
	s.countSend(r, s.name(best))
	f.out[best]++
	s.send(r, best, s.name(best), func(end sceneEnd) {
		f.out[best]--
		switch end {
		case endAnswered:
			s.answer(r)
		case endShed, endUnsent:
			s.sendDirect(r)
		default:
			r.failed = true
		}
	})
}

// send sends a request to an upstream. End is called when the entry knows what became of it.
func (s *scene) send(r *sceneReq, up int, name string, end func(sceneEnd)) {
	finish := func(e sceneEnd) { s.at(sceneLink, func() { end(e) }) }
	s.at(sceneLink, func() {
		u := s.ups[up]
		switch {
		case u.down || s.name(up) != name:
			finish(endUnsent)
		case u.hung:
			s.at(scenePatient, func() { finish(endBroken) })
		case u.busy < sceneSlots:
			s.work(u, sceneWork{r, finish})
		case len(u.queued) < sceneQueue:
			u.queued = append(u.queued, sceneWork{r, finish})
		default:
			u.sheds++
			finish(endShed)
		}
	})
}

func (s *scene) work(u *sceneUpstream, w sceneWork) {
	u.busy++
	took := 60 * math.Exp(0.3*s.rand.NormFloat64()-0.045)
	switch {
	case s.slow == nil && s.rand.Float64() < 0.15, s.slow != nil && s.slow(u.nr, s.clock.Now()-magno.Hour):
		took *= 2.5
	}
	life := u.life
	s.at(magno.Millis(took), func() {
		if u.life != life || u.down {
			w.finish(endBroken)
			return
		}
		u.busy--
		s.answers = append(s.answers, s.clock.Now()-magno.Hour)
		if s.errorShare > 0 && s.rand.Float64() < s.errorShare {
			w.finish(endError)
		} else {
			w.finish(endAnswered)
		}
		if len(u.queued) > 0 {
			next := u.queued[0]
			u.queued = u.queued[1:]
			s.work(u, next)
		}
	})
}

// stop ends an upstream. Gone removes it from the list.
func (s *scene) stop(up int, gone bool) {
	u := s.ups[up]
	u.down, u.gone, u.busy = true, gone, 0
	for _, w := range u.queued {
		w.finish(endBroken)
	}
	u.queued = nil
	s.update()
}

// leave has an upstream get no new requests.
func (s *scene) leave(up int) {
	s.ups[up].leaving = true
	s.update()
}

// restart starts an upstream again, as another incarnation.
func (s *scene) restart(up int) {
	u := s.ups[up]
	u.life++
	u.down, u.gone = false, false
	s.update()
}

// update passes the list of upstreams to all entries.
func (s *scene) update() {
	var list []Upstream
	for i, u := range s.ups {
		if !u.gone {
			list = append(list, Upstream{Name: s.name(i), Slots: sceneSlots, Leaving: u.leaving})
		}
	}
	for _, f := range s.fronts {
		f.queue.Update(list)
	}
}

// outcome is what became of the requests that arrived in a time.
type outcome struct {
	onTime, late, refused, failed, open int
	// inVain counts the requests that were refused after a wait of more than half of their time, toEnd
	// those that then had less than a tenth left. Both include those answered too late for their caller.
	inVain, toEnd int
	// sumTook adds up the answer times.
	sumTook float64
}

func (o outcome) total() int     { return o.onTime + o.late + o.refused + o.failed + o.open }
func (o outcome) value() float64 { return float64(o.onTime) + 0.5*float64(o.late) }
func (o outcome) String() string {
	return fmt.Sprintf("of %d: on time %d (%.1f%%), late %d, refused %d, failed %d, in vain %d, to the end %d, mean %.0f ms", o.total(), o.onTime, 100*float64(o.onTime)/float64(max(o.total(), 1)), o.late, o.refused, o.failed, o.inVain, o.toEnd, o.sumTook/float64(max(o.onTime+o.late, 1)))
}

func (s *scene) outcome(from, to magno.Millis) outcome {
	return s.outcomeWhere(func(at magno.Millis) bool { return at >= from && at < to })
}

// outcomeWhere returns what became of the requests that arrived at the times for which in is true.
func (s *scene) outcomeWhere(in func(at magno.Millis) bool) outcome {
	var o outcome
	for _, r := range s.reqs {
		if !in(r.at-magno.Hour) || r.front.dead {
			continue
		}
		if r.inVain || r.answered-r.at > scenePatient {
			o.inVain++
		}
		if r.toEnd || r.answered-r.at > scenePatient {
			o.toEnd++
		}
		switch {
		case r.refused:
			o.refused++
		case r.failed:
			o.failed++
		case r.answered == 0:
			o.open++
		case r.answered-r.at <= r.aim:
			o.onTime++
			o.sumTook += float64(r.answered - r.at)
		case r.answered-r.at <= scenePatient:
			o.late++
			o.sumTook += float64(r.answered - r.at)
		default:
			o.refused++
		}
	}
	return o
}
