package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"magnoliastall.example/magno/setup"
)

// hujsonLine finds the line number in an error text of the parser.
var hujsonLine = regexp.MustCompile(`line (\d+)`)

// asFault converts an error of the parser to a fault of the shard.
func asFault(name string, err error) *setup.Error {
	var f *setup.Error
	if errors.As(err, &f) {
		return f
	}
	f = &setup.Error{File: name, Line: 1, Message: err.Error()}
	if m := hujsonLine.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
	}
	return f
}

// locate adds shard and line to faults. It parses the shards again, which happens only
// for invalid versions.
func locate(shards []Shard, found []fault) []*setup.Error {
	if len(found) == 0 {
		return nil
	}
	found = found[:min(len(found), MaxFaults)]
	located := make([]*setup.Error, len(found))
	for i, f := range found {
		located[i] = &setup.Error{File: "configuration", Line: 1, Key: f.key(), Message: f.message}
		nth := f.nth
		for _, s := range shards {
			line, seen := findLine(s, f, nth)
			if line > 0 {
				located[i].File, located[i].Line = s.Name, line
				break
			}
			nth -= seen
		}
	}
	return located
}

// key returns the path of list, record and field.
func (f fault) key() string {
	key := f.list
	if f.name != "" {
		key += fmt.Sprintf("[%s]", f.name)
	}
	if f.field != "" {
		key += "." + f.field
	}
	return key
}

// lineOf returns the line of a top-level key, or 1 if it doesn't exist.
func lineOf(s Shard, key string) int {
	line, _ := findLine(s, fault{list: key}, 0)
	return max(line, 1)
}

// findLine returns the line of the nth record with the fault's name, or of the fault's
// field in it. If there is no such record, line is zero and seen is the number of records
// with that name.
func findLine(s Shard, f fault, nth int) (line, seen int) {
	text, err := hujson.Standardize(bytes.Clone(s.Text))
	if err != nil {
		return 0, 0
	}
	var lists map[string]json.RawMessage
	if json.Unmarshal(text, &lists) != nil || lists[f.list] == nil {
		return 0, 0
	}
	list := bytes.Index(text, []byte(`"`+f.list+`"`))
	if f.name == "" {
		return lineAt(text, list), 0
	}
	start := list + bytes.Index(text[list:], lists[f.list])
	dec := json.NewDecoder(bytes.NewReader(text[start:]))
	if _, err := dec.Token(); err != nil {
		return 0, 0
	}
	for dec.More() {
		var raw json.RawMessage
		if dec.Decode(&raw) != nil {
			return 0, seen
		}
		if recordName(raw) != f.name {
			continue
		}
		if seen == nth {
			at := start + int(dec.InputOffset()) - len(raw)
			return lineAt(text, at+max(bytes.Index(raw, []byte(`"`+f.field+`"`)), 0)), seen
		}
		seen++
	}
	return 0, seen
}

// recordName returns the name of a record, or the record itself if it is a string.
func recordName(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var record struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(raw, &record)
	return record.Name
}

func lineAt(text []byte, offset int) int {
	return 1 + bytes.Count(text[:min(max(offset, 0), len(text))], []byte("\n"))
}
