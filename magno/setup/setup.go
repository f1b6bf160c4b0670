// Package setup reads settings: JSON with comments from one file, then flags
// that override it. A key that is unknown, of the wrong type or out of range
// is named with file, line and key, for a typing error in a settings file
// otherwise shows only when the default behind it hurts.
package setup

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// ExitUsage is the exit code of a program whose settings are wrong.
const ExitUsage = 2

// Checker is implemented by settings that have ranges. Check returns nil or a
// *Fault that names the key.
type Checker interface {
	Check() error
}

// Fault says which key is wrong, and where.
type Error struct {
	File string
	// Line counts from 1; zero means that the key came from a flag.
	Line    int
	Key     string
	Message string
}

// Error returns file:line: key: what.
func (f *Error) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("flag -%s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Range returns a fault when value is outside low to high, both allowed.
func Range[T int | int64 | float64](key string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &Error{Key: key, Message: fmt.Sprintf("%v is out of range %v to %v", value, low, high)}
}

// Load fills into, a pointer to a plain struct with defaults set, from the
// flags in args and from the file that -config names. Each field with a json
// tag is a key; its usage is the tag "help".
func Load(name string, args []string, into any) error {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	path := set.String("config", "", "settings `file`, JSON with comments")
	flags := bind(set, into)
	if err := set.Parse(args); err != nil {
		return err
	}
	if set.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", set.Arg(0))
	}
	var text []byte
	if *path != "" {
		data, err := os.ReadFile(*path)
		if err != nil {
			return err
		}
		if text, err = parse(*path, data, into); err != nil {
			return err
		}
	}
	if err := override(set, flags, into); err != nil {
		return err
	}
	return check(*path, text, set, into)
}

// Parse fills into from data, as Load does from a file called name.
func Parse(name string, data []byte, into any) error {
	text, err := parse(name, data, into)
	if err != nil {
		return err
	}
	return check(name, text, nil, into)
}

func parse(name string, data []byte, into any) ([]byte, error) {
	text, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return nil, place(name, text, dec.InputOffset(), err)
	}
	return text, nil
}

// place turns an error of the JSON decoder into a Fault with a line.
func place(name string, text []byte, offset int64, err error) error {
	if wrong, ok := err.(*json.UnmarshalTypeError); ok { //nolint:errorlint // the decoder returns it bare
		return &Error{File: name, Line: line(text, wrong.Offset), Key: wrong.Field,
			Message: fmt.Sprintf("wants %s, has %s", wrong.Type, wrong.Value)}
	}
	const unknown = "json: unknown field "
	if key, ok := strings.CutPrefix(err.Error(), unknown); ok {
		key = strings.Trim(key, `"`)
		return &Error{File: name, Line: keyLine(text, key, offset), Key: key, Message: "unknown key"}
	}
	return &Error{File: name, Line: line(text, offset), Key: "", Message: err.Error()}
}

func line(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// keyLine finds the line of a key; the decoder stops behind it.
func keyLine(text []byte, key string, end int64) int {
	quoted := []byte(`"` + key + `"`)
	end = min(max(end, 0), int64(len(text)))
	if at := bytes.LastIndex(text[:end], quoted); at >= 0 {
		return line(text, int64(at))
	}
	if at := bytes.Index(text, quoted); at >= 0 {
		return line(text, int64(at))
	}
	return 1
}

func check(name string, text []byte, set *flag.FlagSet, into any) error {
	checker, ok := into.(Checker)
	if !ok {
		return nil
	}
	err := checker.Check()
	fault, ok := err.(*Error) //nolint:errorlint // Check returns it bare
	if !ok || fault == nil {
		return err
	}
	given := false
	if set != nil {
		set.Visit(func(f *flag.Flag) { given = given || f.Name == fault.Key })
	}
	if !given && text != nil {
		fault.File = name
		fault.Line = keyLine(text, fault.Key, int64(len(text)))
	}
	return fault
}

// bind makes a flag for each key of a simple type.
func bind(set *flag.FlagSet, into any) map[string]*string {
	flags := map[string]*string{}
	for _, k := range Keys(into) {
		flags[k.Name] = set.String(k.Name, "", fmt.Sprintf("%s (default %s)", k.Help, k.Default))
	}
	return flags
}

func override(set *flag.FlagSet, flags map[string]*string, into any) error {
	var first error
	set.Visit(func(f *flag.Flag) {
		value, ok := flags[f.Name]
		if !ok || first != nil {
			return
		}
		first = assign(into, f.Name, *value)
	})
	return first
}

func assign(into any, key, value string) error {
	v := reflect.ValueOf(into).Elem()
	for i := range v.NumField() {
		if keyOf(v.Type().Field(i)) != key {
			continue
		}
		text := []byte(value)
		if v.Field(i).Kind() == reflect.String {
			text, _ = json.Marshal(value) //nolint:errchkjson // a string always encodes
		}
		if err := json.Unmarshal(text, v.Field(i).Addr().Interface()); err != nil {
			return &Error{Key: key, Message: fmt.Sprintf("%q is not a %s", value, v.Field(i).Type())}
		}
	}
	return nil
}

// keyOf returns the key of a field, without options such as omitempty.
func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// Key describes one setting, for help texts and the reference page.
type Key struct {
	Name    string
	Type    string
	Default string
	Help    string
}

// Keys lists the settings of from, a pointer to a struct that holds defaults.
func Keys(from any) []Key {
	v := reflect.ValueOf(from).Elem()
	keys := make([]Key, 0, v.NumField())
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := keyOf(field)
		if name == "" || name == "-" {
			continue
		}
		def, _ := json.Marshal(v.Field(i).Interface()) //nolint:errchkjson // plain data
		keys = append(keys, Key{Name: name, Type: field.Type.String(), Default: string(def), Help: field.Tag.Get("help")})
	}
	return keys
}
