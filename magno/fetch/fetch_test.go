package fetch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Responses that are too long, incomplete or errors must be rejected. A partial instance
// list that is used as the complete one would hide instances from all processes.
func TestJSON(t *testing.T) {
	tests := []struct {
		name, body, length string
		status             int
		ok                 bool
	}{
		{"whole", `[1]`, "3", 200, true},
		{"as long as may be", `[1` + strings.Repeat(" ", 17) + `]`, "20", 200, true},
		{"too long", `[1]` + strings.Repeat(" ", 18), "21", 200, false},
		{"an error", `[1]`, "3", 503, false},
		{"broken off", `[1]`, "9", 200, false},
		{"more than one value", `[1] 2`, "5", 200, false},
	}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", tt.length)
			w.WriteHeader(tt.status)
			_, _ = io.WriteString(w, tt.body)
		}))
		var got []int
		if err := JSON(context.Background(), server.Client(), server.URL, 20, &got); (err == nil) != tt.ok || tt.ok && len(got) != 1 {
			t.Errorf("%s: %v %v", tt.name, got, err)
		}
		server.Close()
	}
}
