package site

import (
	"net/http"
	"time"
)

// readyTimeout bounds the reading of a readiness check, and of a body that it should not have. A balancer sends a few
// hundred bytes.
const readyTimeout = 5 * time.Second

// readyServer returns the server of readiness checks. They come from anyone who reaches the port, and have no body.
func readyServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readyTimeout,
		WriteTimeout: readyTimeout, IdleTimeout: idleTimeout,
	}
}
