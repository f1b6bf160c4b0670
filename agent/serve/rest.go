package serve

import (
	"context"
	"maps"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
)

// reportTimeout bounds the report to one entry. An entry that it doesn't reach goes by the rest
// that it was told.
const reportTimeout = magno.Second

// toldRests are the entries that were told of a rest of the upstream, with its end. They send
// nothing here until then, so no reply tells them that it ended early.
type toldRests struct {
	mu    sync.Mutex
	until map[string]magno.Millis
}

// add records that an entry is told of a rest.
func (t *toldRests) add(entry string, now, rest magno.Millis) {
	if entry == "" || rest <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.until, func(_ string, until magno.Millis) bool { return until <= now })
	if t.until == nil {
		t.until = map[string]magno.Millis{}
	}
	t.until[entry] = now + rest
}

// take returns and forgets the entries that still go by a rest.
func (t *toldRests) take(now magno.Millis) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []string
	for entry, until := range t.until {
		if until > now {
			entries = append(entries, entry)
		}
	}
	clear(t.until)
	return entries
}

// ReportRestCut reports the backlog to the entries that were told of a rest which has ended early.
// It doesn't block.
//
// Load pattern: an upstream that is overloaded asks for a minute of rest and is restarted. Without
// this, the entries would go on sending its work to upstreams that are busier.
func (s *Server) ReportRestCut() {
	entries := s.toldRests.take(s.Clock.Now())
	if len(entries) == 0 {
		return
	}
	report := magno.BacklogReport{Agent: s.Ledger.Self, Backlog: s.Loop.Backlog()}
	go s.sendReport(entries, report)
}

func (s *Server) sendReport(entries []string, report magno.BacklogReport) {
	err := s.mesh.Broadcast(context.Background(), entries, magno.MethodBacklog, reportTimeout, report, func(entry string, err error) {
		s.Events.Add("report", "", "to="+entry+" failed="+err.Error())
	})
	if err != nil {
		s.Events.Add("report", "", "failed="+err.Error())
	}
	metrics.GetOrCreateCounter("magno_rest_reports_total").Add(len(entries))
}
