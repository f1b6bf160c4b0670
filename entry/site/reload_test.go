package site

import (
	"context"
	"log/slog"
	"net/http"
	"syscall"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/start"
)

// startedTask reports that it runs, and waits for its end.
type startedTask struct{ started chan struct{} }

func (startedTask) Name() string { return "started" }

func (s startedTask) Run(ctx context.Context) error {
	close(s.started)
	<-ctx.Done()
	return nil
}

// startReloadable runs a daemon that handles this process's signals, and returns a function that has it reload its
// settings.
func startReloadable(t *testing.T, settings *magno.SiteSettings) (reload func()) {
	t.Helper()
	reloaded, ended := make(chan struct{}), make(chan int, 1)
	task := startedTask{make(chan struct{})}
	log := slog.New(slog.DiscardHandler)
	watch := &start.Watch{Site: fakeSite{}, Settings: settings, Log: log}
	d := start.Daemon{
		Tasks: []magno.Task{task}, Log: log, Leave: func() {}, Busy: func() int64 { return 0 }, DrainTimeout: magno.Minute,
		Reload: func() {
			watch.Reload()
			reloaded <- struct{}{}
		},
	}
	go func() { ended <- d.Run() }()
	<-task.started // signals are handled from here on
	t.Cleanup(func() {
		signalSelf(t, syscall.SIGTERM)
		if code := <-ended; code != start.ExitOK {
			t.Errorf("exit code %d", code)
		}
	})
	return func() {
		signalSelf(t, syscall.SIGHUP)
		<-reloaded
	}
}

func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), s); err != nil {
		t.Error(err)
	}
}

// Guards against requests that are refused, cut or left without an answer because the settings were reloaded.
func TestReloadTouchesNoRequest(t *testing.T) {
	reload := startReloadable(t, &magno.SiteSettings{Name: "e"})
	for state, bring := range states {
		t.Run(state, func(t *testing.T) {
			r := startRig(t, state == "answering", state == "streaming", state != "first configuration")
			c := bring(t, r, reload)
			if status, err := readAnswer(c); err != nil || status != http.StatusOK {
				t.Errorf("got %d %v", status, err)
			}
		})
	}
}
