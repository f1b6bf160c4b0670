package pack

import (
	"bytes"
	"testing"
)

func TestDecompress(t *testing.T) {
	for _, size := range []int{10, minGzipSize, 100_000} {
		text := bytes.Repeat([]byte(`{"name": "x"} `), size/14+1)
		value, err := compress(text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decompress(value, len(text))
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("%d bytes decompressed to %d, %v", len(text), len(got), err)
		}
	}
}

// A value of a few kilobytes expands to gigabytes, or is truncated. The reader must
// refuse it without using that memory.
func TestDecompressIsBounded(t *testing.T) {
	value, err := compress(make([]byte, 10<<20))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decompress(value, 1<<20); err == nil {
		t.Fatal("accepted a value over the limit")
	}
	if _, err := Decompress(value[:len(value)/2], 20<<20); err == nil {
		t.Fatal("accepted a truncated value")
	}
}
