package fetch

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"testing"
)

// zeros is a body without end, up to limit bytes. It counts the bytes that are read.
type zeros struct{ read, limit int }

func (z *zeros) Read(p []byte) (int, error) {
	if z.read >= z.limit {
		return 0, io.ErrUnexpectedEOF
	}
	clear(p)
	z.read += len(p)
	return len(p), nil
}

func (z *zeros) Close() error { return nil }

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a response without end, or a small compressed one that expands, that fills its reader's memory.
func TestResponsesAreBounded(t *testing.T) {
	const limit = 1 << 20
	for _, c := range []struct {
		name string
		body func(z *zeros) io.ReadCloser
	}{
		{"without end", func(z *zeros) io.ReadCloser { return z }},
		{"compressed", func(z *zeros) io.ReadCloser {
			r, w := io.Pipe()
			t.Cleanup(func() { _ = r.Close() })
			go func() {
				g := gzip.NewWriter(w)
				_, _ = io.Copy(g, z)
				_ = w.Close()
			}()
			plain, err := gzip.NewReader(r)
			if err != nil {
				t.Fatal(err)
			}
			return plain
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			z := &zeros{limit: 64 * limit}
			body := c.body(z)
			client := &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
			})}
			res, err := Get(t.Context(), client, "http://a.example", limit)
			if err != nil || !res.Truncated || len(res.Body) != limit {
				t.Errorf("%d bytes were kept, truncated %v, %v", len(res.Body), res.Truncated, err)
			}
			if err := res.OK(); err == nil || !strings.Contains(err.Error(), "exceeds") {
				t.Errorf("a truncated response counts as whole: %v", err)
			}
			if c.name == "without end" && z.read > 3*limit {
				t.Errorf("%d bytes were read, at most %d may be", z.read, 3*limit)
			}
		})
	}
}
