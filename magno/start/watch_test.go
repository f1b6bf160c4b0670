package start

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"magnoliastall.example/magno"
)

// changingSite is a platform whose settings the test changes.
type changingSite struct {
	magno.Site
	mu  sync.Mutex
	set magno.SiteSettings
	err error
}

func (s *changingSite) Settings() (*magno.SiteSettings, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.set
	set.Seeds = slices.Clone(s.set.Seeds)
	return &set, s.err
}

func (s *changingSite) change(err error, seeds ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Seeds, s.err = seeds, err
}

// newWatch returns a watch of a platform, the seeds that it applied, and its log.
func newWatch(site *changingSite) (w *Watch, applied *[][]string, log *bytes.Buffer) {
	log, applied = &bytes.Buffer{}, &[][]string{}
	first, _ := site.Settings()
	w = &Watch{
		Site: site, Settings: first, Applied: []string{"Seeds"}, Log: slog.New(slog.NewTextHandler(log, nil)),
		Apply: func(set *magno.SiteSettings) { *applied = append(*applied, set.Seeds) },
	}
	return w, applied, log
}

// Guards against settings that are put right while the process runs and take no effect.
func TestChangedSettingsAreApplied(t *testing.T) {
	site := &changingSite{set: magno.SiteSettings{Name: "e", Seeds: []string{"old:1"}}}
	w, applied, log := newWatch(site)
	w.Reload()
	if len(*applied) > 0 || !strings.Contains(log.String(), "changed=false") {
		t.Errorf("unchanged settings: applied %v, log %s", *applied, log)
	}
	site.change(nil, "new:1")
	site.set.Lease = 5
	w.Reload()
	if len(*applied) != 1 || (*applied)[0][0] != "new:1" {
		t.Errorf("applied %v", *applied)
	}
	if !strings.Contains(log.String(), "changed=true applied=Seeds waiting=Lease") {
		t.Errorf("the log doesn't say what takes effect: %s", log)
	}
	site.change(errors.New("no address"), "newest:1")
	w.Reload()
	w.Reload()
	if n := strings.Count(log.String(), "no address"); len(*applied) != 1 || n != 1 {
		t.Errorf("settings that can't be read: applied %v, logged %d times", *applied, n)
	}
}

// Guards against settings that change without a signal, and against the file being read while it is
// half written.
func TestSettingsThatChangeWithoutASignalAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &changingSite{set: magno.SiteSettings{Name: "e", Seeds: []string{"old:1"}}}
		w, applied, _ := newWatch(site)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		pause := func() {
			magno.Sleep(ctx, watchInterval)
			synctest.Wait()
		}
		pause()
		site.change(nil, "ne")
		pause()
		site.change(nil, "new:1", "new:2")
		pause()
		pause()
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if len(*applied) != 1 || len((*applied)[0]) != 2 {
			t.Errorf("applied %v, want the last seeds once", *applied)
		}
	})
}
