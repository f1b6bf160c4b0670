package insts

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

func call(h http.Handler, method, body string) (int, State) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, "/v1/instances", bytes.NewReader([]byte(body))))
	var state State
	_ = json.Unmarshal(w.Body.Bytes(), &state)
	return w.Code, state
}

// The list shows only after its lag that an instance is leaving. Until then, a
// process that relies on the list alone sends it new work.
func TestLag(t *testing.T) {
	clock := magno.NewClock(1000)
	l := &List{Lag: 300, Clock: clock}
	if status, state := call(l.Handler(), http.MethodGet, ""); status != http.StatusOK || state.Revision != 0 || state.Instances == nil {
		t.Fatalf("empty: %d %+v", status, state)
	}
	live := `{"instances":[{"name":"a","role":"agent","dc":"x","address":"127.0.0.1:1","state":"live"}]}`
	leaving := `{"instances":[{"name":"a","role":"agent","dc":"x","address":"127.0.0.1:1","state":"leaving"}]}`
	if status, _ := call(l.Handler(), http.MethodPut, live); status != http.StatusMethodNotAllowed {
		t.Errorf("PUT on the readers' API: status %d", status)
	}
	for _, body := range []string{live, leaving} {
		if status, _ := call(l.Admin(), http.MethodPut, body); status != http.StatusOK {
			t.Fatalf("publish: %d", status)
		}
		clock.Advance(400)
	}
	steps := []struct {
		after    magno.Millis
		lag      float64
		revision int64
		state    magno.InstanceState
	}{
		{0, 0, 2, magno.InstanceLeaving},
		{0, 500, 1, magno.InstanceLive},
		{100, 500, 2, magno.InstanceLeaving},
		{0, 9000, 1, magno.InstanceLive},
	}
	for _, tt := range steps {
		clock.Advance(tt.after)
		if tt.lag > 0 {
			_ = l.Fault(fault.Spec{Kind: fault.Lag, Value: tt.lag})
		}
		_, state := call(l.Handler(), http.MethodGet, "")
		if state.Revision != tt.revision || len(state.Instances) != 1 || state.Instances[0].State != tt.state {
			t.Errorf("%+v: got %+v", tt, state)
		}
	}
	_ = l.Fault(fault.Spec{Kind: fault.Outage})
	if status, _ := call(l.Handler(), http.MethodGet, ""); status != http.StatusServiceUnavailable {
		t.Errorf("outage: %d", status)
	}
}

func TestParse(t *testing.T) {
	tests := map[string]bool{
		`{"instances":[]}`: true,
		`{"instances":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]}`: true,
		`{"instances":[{"name":"a","state":"live"},{"name":"a","state":"live"}]}`:    false,
		`{"instances":[{"name":"","state":"live"}]}`:                                 false,
		`{"instances":[{"name":"a","state":"gone"}]}`:                                false,
		`{"instance":[]}`: false,
		`{"instances":`:   false,
	}
	for body, ok := range tests {
		if _, err := parse([]byte(body)); (err == nil) != ok {
			t.Errorf("%s: %v", body, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"instances":[{"name":"a","role":"agent","dc":"x","pool":"p","address":"127.0.0.1:1","state":"live"}]}`))
	f.Add([]byte(`{"revision":9,"instances":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		instances, err := parse(data)
		if err != nil {
			return
		}
		for _, in := range instances {
			if in.Name == "" {
				t.Errorf("accepted an instance without a name in %q", data)
			}
		}
	})
}
