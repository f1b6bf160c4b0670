package gate

import (
	"slices"

	"magnoliastall.example/magno"
)

// leaving sends a request elsewhere: an engine that leaves cuts off what begins
// there too late.
func leaving() *magno.Refusal {
	return magno.Refuse(magno.KindLeaving, "the engine leaves").Later(leastAfter)
}

// expire gives up what waited for too long, and what would: a request for an
// adapter that can't be there in time is refused now, while its caller may
// still find another way.
func (g *Gate) expire(s *Decisions, now magno.Millis) {
	eta := g.forecast(now).eta
	g.queue = slices.DeleteFunc(g.queue, func(w *waiting) bool {
		r := g.hopeless(w, eta[w.name()], now)
		if r != nil {
			w.passed(now)
			s.Rejections = append(s.Rejections, Rejection{ID: w.ID, Refusal: r, Waits: w.waits})
		}
		return r != nil
	})
}

// hopeless returns why a request is given up, nil while it may still begin.
func (g *Gate) hopeless(w *waiting, eta, now magno.Millis) *magno.Refusal {
	switch {
	case g.spec.Leaving:
		return leaving()
	case now+eta >= w.until && eta > 0:
		return magno.Refuse(magno.KindLoading, "its adapter is expected in %d ms, and it waited for %d", eta, now-w.came).
			Later(min(max(now+eta-w.until, leastAfter), mostAfter))
	case now >= w.until:
		return magno.Refuse(magno.KindBusy, "it waited for %d ms", now-w.came).Later(leastAfter)
	}
	return nil
}

// order sorts the queue: first what can still begin in time, the more urgent
// and the sooner due before the others, then what is late already. An engine
// that is full gives its time to answers that are worth most, and a late one
// is worth a third.
func (g *Gate) order(now magno.Millis) {
	slices.SortStableFunc(g.queue, func(a, b *waiting) int {
		if lateA, lateB := now > a.due, now > b.due; lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		if a.Rank != b.Rank {
			return a.Rank - b.Rank
		}
		return int(a.due - b.due)
	})
}

// grant lets through what the engine can begin now. A request whose adapter
// isn't there doesn't hold up those behind it; one that waits for its turn to
// be read does, or long prompts would never get one.
func (g *Gate) grant(s *Decisions, now magno.Millis) {
	blocked := false
	g.queue = slices.DeleteFunc(g.queue, func(w *waiting) bool {
		if blocked || !g.held.ready(&w.Request) {
			return false
		}
		tokens := g.unread(&w.Request)
		if !g.room(&w.Request) || !g.pace.allows(tokens, now) {
			blocked = true
			return false
		}
		readBy := g.pace.take(tokens, now)
		g.read.add(w.name(), w.PrefixHash)
		g.runs[w.ID] = &granted{ask: w.Request, at: now, until: w.end + grantSlack, unread: tokens, readBy: readBy}
		w.passed(now)
		s.Grants = append(s.Grants, Grant{ID: w.ID, Version: g.held.version(&w.Request), Waited: now - w.came, Waits: w.waits})
		return true
	})
}

// unread is how many prompt tokens the engine has to read: parts that it read
// for the same adapter lately are still there.
func (g *Gate) unread(a *Request) int {
	if a.PrefixTokens > 0 && g.read.has(a.name(), a.PrefixHash) {
		return a.Prompt - a.PrefixTokens
	}
	return a.Prompt
}

// room tells whether the engine has a place and memory for one more.
func (g *Gate) room(a *Request) bool {
	if g.running() >= g.spec.Engine.Batch {
		return false
	}
	if len(g.runs) == 0 {
		return true
	}
	used := need(a)
	for _, r := range g.runs {
		used += need(&r.ask)
	}
	return float64(used) <= roomPart*float64(g.spec.Engine.Tokens)
}

func need(a *Request) int { return a.Prompt + min(a.MaxOutput, mostMade) }
