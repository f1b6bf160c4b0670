package desk

import (
	"log/slog"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/notice"
)

// Guards against an engine that is left alone to the end of a rest that it asked for before it restarted, and against
// a later report of the same restart that ends a later rest.
func TestRestartOfAnEngineEndsItsRestOnce(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	var ended []string
	c := &Client{
		Notices: &notice.Board{Clock: clock}, Clock: clock, Log: slog.New(slog.DiscardHandler),
		OnRestEnded: func(service, key string) { ended = append(ended, service+" "+key) },
	}
	c.Notices.Record("u", magno.Notice{RetryAfter: magno.Minute}, clock.Now())
	clock.Advance(100)
	c.adoptNotices("engines", "u", &gate.StatusReply{RestartAge: 50}, "agent")
	c.adoptNotices("engines", "u", &gate.StatusReply{RestartAge: 50}, "agent")
	c.Notices.Record("u", magno.Notice{RetryAfter: magno.Minute}, clock.Now())
	clock.Advance(100)
	c.adoptNotices("engines", "u", &gate.StatusReply{RestartAge: 150}, "agent")
	if len(ended) != 1 || ended[0] != "engines u" {
		t.Errorf("rests ended: %v", ended)
	}
}
