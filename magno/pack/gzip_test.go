package pack

import (
	"bytes"
	"testing"
)

func TestPlain(t *testing.T) {
	for _, size := range []int{10, gzipFrom, 100_000} {
		text := bytes.Repeat([]byte(`{"name": "x"} `), size/14+1)
		value, err := squeeze(text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decompress(value, len(text))
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("%d bytes came back as %d, %v", len(text), len(got), err)
		}
	}
}

// A value of a few kilobytes unpacks to gigabytes, or is cut off. The reader
// must refuse it and keep its memory.
func TestPlainIsBounded(t *testing.T) {
	value, err := squeeze(make([]byte, 10<<20))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decompress(value, 1<<20); err == nil {
		t.Fatal("taken")
	}
	if _, err := Decompress(value[:len(value)/2], 20<<20); err == nil {
		t.Fatal("a value that is cut off was taken")
	}
}
