// Package setup reads settings from a file, JSON with comments, and from flags that override
// the file. Keys that are unknown, of the wrong type or out of range are errors with file,
// line and key. Otherwise a typing error would go unnoticed until the default that is used
// instead causes problems.
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

// ExitUsage is the exit code for invalid settings or arguments.
const ExitUsage = 2

// Checker is implemented by settings with constraints on their values. Check returns nil or
// an *Error with the key.
type Checker interface {
	Check() error
}

// Error is an invalid setting.
type Error struct {
	File string
	// Line counts from 1; zero means that the key was set by a flag.
	Line    int
	Key     string
	Message string
}

// Error returns file:line: key: message.
func (f *Error) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("flag -%s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Range returns an *Error if value is less than low or greater than high.
func Range[T int | int64 | float64](key string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &Error{Key: key, Message: fmt.Sprintf("%v is out of range %v to %v", value, low, high)}
}

// Load reads settings into a struct that contains the defaults: from the file in the flag
// -config, then from the other flags in args. into is a pointer to the struct. Each field
// with a json tag is a key, and its help tag is the usage text.
func Load(name string, args []string, into any) error {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	path := set.String("config", "", "settings `file`, JSON with comments")
	flags := bindFlags(set, into)
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
	if err := applyFlags(set, flags, into); err != nil {
		return err
	}
	return check(*path, text, set, into)
}

// Parse reads settings from data, as Load does from a file; name is used in errors.
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
		return nil, locate(name, text, dec.InputOffset(), err)
	}
	return text, nil
}

// locate converts an error of the JSON decoder to an Error with a line.
func locate(name string, text []byte, offset int64, err error) error {
	if mismatch, ok := err.(*json.UnmarshalTypeError); ok { //nolint:errorlint // the decoder returns it unwrapped
		return &Error{File: name, Line: lineAt(text, mismatch.Offset), Key: mismatch.Field,
			Message: fmt.Sprintf("wants %s, has %s", mismatch.Type, mismatch.Value)}
	}
	const unknown = "json: unknown field "
	if key, ok := strings.CutPrefix(err.Error(), unknown); ok {
		key = strings.Trim(key, `"`)
		return &Error{File: name, Line: keyLine(text, key, offset), Key: key, Message: "unknown key"}
	}
	return &Error{File: name, Line: lineAt(text, offset), Key: "", Message: err.Error()}
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// keyLine returns the line of a key, searching back from end, where the decoder stopped.
func keyLine(text []byte, key string, end int64) int {
	quoted := []byte(`"` + key + `"`)
	end = min(max(end, 0), int64(len(text)))
	if at := bytes.LastIndex(text[:end], quoted); at >= 0 {
		return lineAt(text, int64(at))
	}
	if at := bytes.Index(text, quoted); at >= 0 {
		return lineAt(text, int64(at))
	}
	return 1
}

func check(name string, text []byte, set *flag.FlagSet, into any) error {
	checker, ok := into.(Checker)
	if !ok {
		return nil
	}
	err := checker.Check()
	invalid, ok := err.(*Error) //nolint:errorlint // Check returns it unwrapped
	if !ok || invalid == nil {
		return err
	}
	setByFlag := false
	if set != nil {
		set.Visit(func(f *flag.Flag) { setByFlag = setByFlag || f.Name == invalid.Key })
	}
	if !setByFlag && text != nil {
		invalid.File = name
		invalid.Line = keyLine(text, invalid.Key, int64(len(text)))
	}
	return invalid
}

// bindFlags defines a flag for each key.
func bindFlags(set *flag.FlagSet, into any) map[string]*string {
	flags := map[string]*string{}
	for _, k := range Keys(into) {
		flags[k.Name] = set.String(k.Name, "", fmt.Sprintf("%s (default %s)", k.Help, k.Default))
	}
	return flags
}

func applyFlags(set *flag.FlagSet, flags map[string]*string, into any) error {
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

// Key describes a setting for help texts and the settings reference.
type Key struct {
	Name    string
	Type    string
	Default string
	Help    string
}

// Keys returns the settings of a struct; from is a pointer to it and contains the defaults.
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
