package serve

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, r *echo.Echo) (url string, stop func() error) {
	s := &Server{Title: "test", Addr: "127.0.0.1:0", Handler: r}
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return "http://" + addr, func() error { cancel(); return <-ended }
}

func TestLimits(t *testing.T) {
	r := NewRouter()
	r.POST("/", func(c echo.Context) error {
		data, err := ReadBody(c, 10)
		if err != nil {
			return err
		}
		return c.String(http.StatusOK, string(data))
	})
	url, stop := start(t, r)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	tests := []struct {
		name, path, body string
		header           int
		status           int
		answer           string
	}{
		{"within", "/", "0123456789", 0, http.StatusOK, "0123456789"},
		{"body too long", "/", "0123456789a", 0, http.StatusRequestEntityTooLarge, `"code":413`},
		{"header too long", "/", "", 2 * MaxHeaderBytes, http.StatusRequestHeaderFieldsTooLarge, "431"},
		{"no route", "/x", "", 0, http.StatusNotFound, `{"error":{"message":"Not Found"`},
	}
	for _, tt := range tests {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url+tt.path, strings.NewReader(tt.body))
		req.Header.Set("X-Long", strings.Repeat("x", tt.header))
		resp, err := client.Do(req)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != tt.status || !strings.Contains(string(data), tt.answer) {
			t.Errorf("%s: %d %s", tt.name, resp.StatusCode, data)
		}
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// The server stops during a long call. The process must not hang on the call, and
// the caller must see an aborted connection and no answer.
func TestStopEndsCalls(t *testing.T) {
	begun := make(chan struct{})
	r := NewRouter()
	r.GET("/", func(c echo.Context) error {
		close(begun)
		<-c.Request().Context().Done()
		return c.Request().Context().Err()
	})
	url, stop := start(t, r)
	got := make(chan error, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		got <- err
	}()
	<-begun
	if err := stop(); err != nil {
		t.Error(err)
	}
	if err := <-got; err == nil {
		t.Error("the caller got an answer")
	}
}

func TestStrict(t *testing.T) {
	for body, ok := range map[string]bool{`{"a":1}`: true, `{"b":1}`: false, `{"a":1}{}`: false, "{\n}": true, ``: false} {
		var into struct {
			A int `json:"a"`
		}
		if err := DecodeStrict([]byte(body), &into); (err == nil) != ok {
			t.Errorf("%s: %v", body, err)
		}
	}
}
