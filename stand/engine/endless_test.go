package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"magnoliastall.example/stand/endless"
	"magnoliastall.example/stand/fault"
)

// A fault that isn't played lets a test pass that shows nothing: no call to the engine may be served while it is
// active, and all are after it.
func TestEndlessEngineAnswersNothing(t *testing.T) {
	s := startEngine(t, &Engine{})
	s.client.Transport = &http.Transport{DisableKeepAlives: true}
	for row := range endless.Rows {
		s.setFault(fault.Spec{Kind: fault.Endless, Value: float64(row)})
		res, err := s.client.Get(s.server.URL + "/v1/report")
		if err != nil {
			continue
		}
		var report map[string]any
		if json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(&report) == nil {
			t.Errorf("%v: the report %v", endless.Row(row), report)
		}
		_ = res.Body.Close()
	}
	s.setFault(fault.Spec{Kind: fault.Clear})
	res, err := s.client.Get(s.server.URL + "/v1/report")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", res, err)
	}
	_ = res.Body.Close()
}
