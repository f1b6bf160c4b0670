package fleet

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// fieldInstances is the field of a list with the entries.
const fieldInstances = "instances"

// decodeList decodes a list. Entries that name no instance are left out: faults says why.
//
// Load pattern: another program left an entry of another type, nested more deeply than the decoder goes, with a number
// or a port out of range. Decoded as a whole, the list would not be followed any more.
func decodeList(body []byte) (l list, faults []error, err error) {
	entries, rest, err := splitList(body)
	if err != nil {
		return list{}, nil, err
	}
	if err := json.Unmarshal(rest, &l); err != nil {
		return list{}, nil, err
	}
	l.Instances = make([]magno.Instance, 0, len(entries))
	for i, text := range entries {
		in, err := decodeInstance(text)
		if err != nil {
			faults = append(faults, errors.Wrapf(err, "entry %d", i))
			continue
		}
		l.Instances = append(l.Instances, in)
	}
	return l, faults, nil
}

// splitList returns the texts of the entries, and the list without them.
func splitList(body []byte) (entries [][]byte, rest []byte, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber() // any number is skipped
	if start, err := d.Token(); err != nil || start != json.Delim('{') {
		return nil, nil, errors.New("the list is no object")
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, nil, err
		}
		if name != fieldInstances {
			if _, err := skipValue(d, body); err != nil {
				return nil, nil, err
			}
			continue
		}
		start := d.InputOffset()
		if entries, err = splitArray(d, body); err != nil {
			return nil, nil, err
		}
		end := d.InputOffset()
		// The bytes between the name and the end are the colon and the entries.
		return entries, bytes.Join([][]byte{body[:start], []byte(":null"), body[end:]}, nil), nil
	}
	return nil, body, nil
}

// splitArray reads an array, or null, and returns the texts of its elements.
func splitArray(d *json.Decoder, body []byte) ([][]byte, error) {
	start, err := d.Token()
	switch {
	case err != nil:
		return nil, err
	case start == nil:
		return nil, nil
	case start != json.Delim('['):
		return nil, errors.Newf("%s is no array", fieldInstances)
	}
	var elements [][]byte
	for d.More() {
		text, err := skipValue(d, body)
		if err != nil {
			return nil, err
		}
		elements = append(elements, text)
	}
	_, err = d.Token()
	return elements, err
}

// skipValue reads the next value, nested as deeply as it may be, and returns its text.
func skipValue(d *json.Decoder, body []byte) ([]byte, error) {
	begin := d.InputOffset()
	for depth := 0; ; {
		token, err := d.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return bytes.TrimLeft(body[begin:d.InputOffset()], ",: \t\r\n"), nil
		}
	}
}

// decodeInstance decodes an entry.
func decodeInstance(text []byte) (magno.Instance, error) {
	var in magno.Instance
	if err := json.Unmarshal(text, &in); err != nil {
		return in, err
	}
	host, port, err := net.SplitHostPort(in.Address)
	if err != nil || net.ParseIP(host) == nil {
		return in, errors.Newf("%.100q has no address: %.100q", in.Name, in.Address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return in, errors.Newf("%.100q has no port: %.100q", in.Name, in.Address)
	}
	if in.Name == "" {
		return in, errors.Newf("%s has no name", in.Address)
	}
	return in, nil
}
