package live

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/engine"
	"magnoliastall.example/stand/plain"
)

// ledger is what all stand-ins say that they ran.
type ledger struct {
	// runs counts by the hash of prompt or body, which no two requests share;
	// models maps it to the model of the last run.
	runs   map[string]int
	models map[string]string
	// dropped is over zero when a stand-in's record is not whole.
	dropped                int64
	steps, used, potential int64
}

// counts reads the record of every stand-in.
func (l *LoadTest) counts(ctx context.Context) (*ledger, error) {
	sum := &ledger{runs: map[string]int{}, models: map[string]string{}}
	for _, s := range l.Upstreams {
		if s.Plain {
			var c plain.Counts
			if err := l.get(ctx, s.URL+"/counts", &c); err != nil {
				return nil, fmt.Errorf("counts of %s: %w", s.Name, err)
			}
			sum.dropped += c.Dropped
			for _, r := range c.Runs {
				sum.runs[r.Body]++
			}
			continue
		}
		var c engine.Counts
		if err := l.get(ctx, s.URL+"/counts", &c); err != nil {
			return nil, fmt.Errorf("counts of %s: %w", s.Name, err)
		}
		sum.dropped += c.Dropped
		sum.steps += c.Steps
		sum.used += c.Used
		sum.potential += c.Capacity
		for _, r := range c.Runs {
			sum.runs[r.Prompt]++
			sum.models[r.Prompt] = r.Model
		}
	}
	return sum, nil
}

func (l *LoadTest) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// judge compares what callers were told with what ran.
func (r *Report) judge(before, after *ledger) {
	r.DroppedRecords = after.dropped
	if capacity := after.potential - before.potential; capacity > 0 {
		r.BatchEfficiency = float64(after.used-before.used) / float64(capacity)
	}
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if why := o.judge(after); why != "" && o.state != wrong {
			r.Wrong++
			r.note("wrong: " + why)
		}
		if hash := o.hash(); !o.request.Repeat && after.runs[hash] > 1 {
			r.DoubleRuns++
			r.note(fmt.Sprintf("doubled: %s ran %d times", o.request.key, after.runs[hash]))
		}
	}
}

func (o *outcome) hash() string { return strconv.FormatUint(xxhash.Sum64String(o.request.text), 16) }

// judge says what is wrong with an outcome, given what ran.
func (o *outcome) judge(l *ledger) string {
	hash := o.hash()
	ran := l.runs[hash]
	calls := append([]result{o.result}, o.more...)
	whole := false
	for _, c := range calls {
		if c.state == refused && c.run == magno.RunNo && ran > 0 && !o.request.Repeat {
			return fmt.Sprintf("%s was told not run (%s) and ran", o.request.key, c.kind)
		}
		whole = whole || c.state == served
	}
	if whole && o.state != skipped && ran == 0 && l.dropped == 0 {
		return fmt.Sprintf("%s was answered and ran nowhere", o.request.Name)
	}
	ref := magno.Ref{Adapter: o.request.Adapter, Version: o.request.Version}.String()
	if model, ok := l.models[hash]; ok && model != ref {
		return fmt.Sprintf("%s ran on %s", o.request.Name, model)
	}
	return ""
}
