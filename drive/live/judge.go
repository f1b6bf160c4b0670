package live

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/engine"
	"magnoliastall.example/stand/plain"
)

// runLog sums up the execution records of all stand-ins.
type runLog struct {
	// runs counts executions by the hash of the prompt or body, which is unique to a
	// request; models maps it to the model of the last execution.
	runs   map[string]int
	models map[string]string
	// dropped is positive if the record of a stand-in is incomplete.
	dropped               int64
	steps, used, capacity int64
}

// readRunLog reads the execution records of all stand-ins.
func (l *LoadTest) readRunLog(ctx context.Context) (*runLog, error) {
	sum := &runLog{runs: map[string]int{}, models: map[string]string{}}
	for _, s := range l.Upstreams {
		if s.Plain {
			var c plain.Counts
			if err := l.getJSON(ctx, s.URL+"/counts", &c); err != nil {
				return nil, fmt.Errorf("read counts of %s: %w", s.Name, err)
			}
			sum.dropped += c.Dropped
			for _, r := range c.Runs {
				sum.runs[r.Body]++
			}
			continue
		}
		var c engine.Counts
		if err := l.getJSON(ctx, s.URL+"/counts", &c); err != nil {
			return nil, fmt.Errorf("read counts of %s: %w", s.Name, err)
		}
		sum.dropped += c.Dropped
		sum.steps += c.Steps
		sum.used += c.Used
		sum.capacity += c.Capacity
		for _, r := range c.Runs {
			sum.runs[r.Prompt]++
			sum.models[r.Prompt] = r.Model
		}
	}
	return sum, nil
}

func (l *LoadTest) getJSON(ctx context.Context, url string, into any) error {
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
		return fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(into)
}

// verify compares what callers received with what the stand-ins ran.
func (r *Report) verify(before, after *runLog) {
	r.DroppedRecords = after.dropped
	if capacity := after.capacity - before.capacity; capacity > 0 {
		r.BatchEfficiency = float64(after.used-before.used) / float64(capacity)
	}
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if why := o.verify(after); why != "" && o.state != wrong {
			r.Wrong++
			r.addNote("wrong: " + why)
		}
		if hash := o.hash(); !o.request.Idempotent && after.runs[hash] > 1 {
			r.DoubleRuns++
			r.addNote(fmt.Sprintf("doubled: %s ran %d times", o.request.key, after.runs[hash]))
		}
	}
}

func (o *outcome) hash() string { return strconv.FormatUint(xxhash.Sum64String(o.request.payload), 16) }

// verify returns what is wrong with an outcome given the execution records, or "".
func (o *outcome) verify(l *runLog) string {
	hash := o.hash()
	ran := l.runs[hash]
	calls := append([]result{o.result}, o.duplicates...)
	complete := false
	for _, c := range calls {
		if c.state == refused && c.run == magno.RunNo && ran > 0 && !o.request.Idempotent {
			return fmt.Sprintf("%s was told not run (%s) and ran", o.request.key, c.kind)
		}
		complete = complete || c.state == served
	}
	if complete && o.state != skipped && ran == 0 && l.dropped == 0 {
		return fmt.Sprintf("%s was answered and ran nowhere", o.request.Name)
	}
	ref := magno.Ref{Adapter: o.request.Adapter, Version: o.request.Version}.String()
	if model, ok := l.models[hash]; ok && model != ref {
		return fmt.Sprintf("%s ran on %s", o.request.Name, model)
	}
	return ""
}
