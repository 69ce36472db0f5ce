package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// All hosts lose power and start together. Requests that came before the first configuration was read were refused, their callers came
// back too soon, and had no further try: two of three requests of those seconds were lost.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	s := newServer(t, "i-1", nil)
	h := startHost(t, s)
	type end struct {
		status int
		took   time.Duration
	}
	ended := make(chan end)
	began := time.Now()
	go func() {
		res, _ := h.send("GET", "/look/x", "id-1", "")
		ended <- end{res.StatusCode, time.Since(began)}
	}()
	time.Sleep(200 * time.Millisecond)
	h.kv.Put("op/config", configuration)
	if e := <-ended; e.status != http.StatusOK || e.took < 200*time.Millisecond {
		t.Errorf("status %d after %v, want an answer after the configuration", e.status, e.took)
	}
}

// A host that has had no configuration for long does not know when it will; holding requests would only use up their callers' time.
func TestHostWithoutConfigurationRejectsAtOnceLater(t *testing.T) {
	h := startHost(t)
	h.eventually("an immediate rejection that names a later time", func() bool {
		began := time.Now()
		res, _ := h.send("GET", "/look/x", "id-1", "")
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return res.StatusCode == http.StatusServiceUnavailable && time.Since(began) < 300*time.Millisecond && err == nil && after > 0.7
	})
}
