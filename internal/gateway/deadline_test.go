package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
)

// deadlineWriter records the write deadline of a connection.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

// The write deadline of a response stays set on its connection. Guards against a later response or rejection that inherits a passed
// deadline, so that it is not written and the connection is closed.
func TestEachResponseSetsWriteDeadline(t *testing.T) {
	g := &Gateway{log: zerolog.Nop(), metrics: newGatewayMetrics(telemetry.NewMetrics(nil).Scope)}
	req := &request{g: g, view: &catalog.View{}, method: http.MethodGet}
	for name, write := range map[string]func(w http.ResponseWriter){
		"answer":    func(w http.ResponseWriter) { g.forward(w, req, &response{status: http.StatusOK}) },
		"rejection": func(w http.ResponseWriter) { g.reject(w, req, result.Fail(result.NoRoute, "no route")) },
	} {
		earlier := time.Now().Add(-time.Minute)
		w := &deadlineWriter{httptest.NewRecorder(), earlier}
		write(w)
		if !w.deadline.After(time.Now()) {
			t.Errorf("%s: the deadline %v of an earlier response is still set", name, w.deadline)
		}
	}
}
