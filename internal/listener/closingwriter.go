package listener

import (
	"net/http"
	"sync/atomic"
)

// closingWriter sets "Connection: close" on the last response of a connection of a closing listener. It decides when the header is
// written: a caller that pipelines requests may send further ones while the request runs, and those that were received must get responses
// too.
type closingWriter struct {
	http.ResponseWriter
	conn *trackedConn
	// closing is the state of the listener.
	closing *atomic.Bool
	decided bool
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.decide()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.decide()
	return w.ResponseWriter.Write(p)
}

// decide sets the header of the response, unless that was done before.
func (w *closingWriter) decide() {
	if w.decided {
		return
	}
	w.decided = true
	if w.closing.Load() && w.conn.announceClose() {
		w.Header().Set("Connection", "close")
	}
}
