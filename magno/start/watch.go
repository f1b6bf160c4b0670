package start

import (
	"context"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"sync"

	"magnoliastall.example/magno"
)

// watchInterval is the time between two reads of the settings. The platform may change them without a
// signal.
const watchInterval = 500 * magno.Millis(1)

// Watch applies changes of the settings to a running process. Fields are set before Run.
//
//	SIGHUP --Reload--> settings --applied fields--> Apply
//	Run, each watchInterval --^ '--other fields--> log: they wait for the next start
type Watch struct {
	Site magno.Site
	// Settings are those with which the process started.
	Settings *magno.SiteSettings
	// Applied are the names of the fields that take effect at once; Apply is called when one of them
	// has changed. It may be nil if there are none.
	Applied []string
	Apply   func(*magno.SiteSettings)
	Log     *slog.Logger

	mu sync.Mutex
	// current are the settings that were last taken over, read those that were last read. fault is why
	// they couldn't be read the last time, empty if they could.
	current, read *magno.SiteSettings
	fault         string
}

// Name implements magno.Task.
func (w *Watch) Name() string { return "settings" }

// Run reads the settings until ctx ends. A change is taken over once two reads agree: the file may be
// read while it is being written.
func (w *Watch) Run(ctx context.Context) error {
	for magno.Sleep(ctx, watchInterval) {
		w.mu.Lock()
		before := w.read
		if set := w.load(); set != nil && before != nil && reflect.DeepEqual(set, before) {
			w.take(set)
		}
		w.mu.Unlock()
	}
	return nil
}

// Reload reads the settings, which the platform says have changed, and takes them over.
func (w *Watch) Reload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if set := w.load(); set != nil && !w.take(set) {
		w.Log.Info("settings", "changed", false)
	}
}

// load reads the settings. It returns nil if they can't be read. The caller holds mu.
func (w *Watch) load() *magno.SiteSettings {
	set, err := w.Site.Settings()
	if err != nil {
		if err.Error() != w.fault {
			w.fault = err.Error()
			w.Log.Warn("settings", "error", err)
		}
		return nil
	}
	w.read, w.fault = set, ""
	return set
}

// take takes settings over and reports whether they differ from the current ones. The caller holds
// mu.
func (w *Watch) take(set *magno.SiteSettings) bool {
	if w.current == nil {
		w.current = w.Settings
	}
	var applied, waiting []string
	for _, name := range changedFields(w.current, set) {
		if slices.Contains(w.Applied, name) {
			applied = append(applied, name)
		} else {
			waiting = append(waiting, name)
		}
	}
	if len(applied)+len(waiting) == 0 {
		return false
	}
	w.current = set
	w.Log.Info("settings", "changed", true, "applied", strings.Join(applied, ","), "waiting", strings.Join(waiting, ","))
	if len(applied) > 0 {
		w.Apply(set)
	}
	return true
}

// changedFields returns the names of the fields in which settings differ.
func changedFields(a, b *magno.SiteSettings) []string {
	var names []string
	x, y := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}
