package backend

import (
	"net/http"
	"testing"
	"time"
)

// TestHopByHopFieldsAreRemoved guards against hop-by-hop fields that are forwarded, in either direction.
func TestHopByHopFieldsAreRemoved(t *testing.T) {
	in := http.Header{}
	in.Set("Connection", "close, X-Own")
	in.Set("X-Own", "1")
	in.Set("Te", "trailers")
	in.Set("Expect", "100-continue")
	in.Set("Accept-Encoding", "br")
	in.Set(HeaderTimeout, "999999")
	out := ownProtocol.requestHeader(&Request{ID: "r", Header: in}, 1500*time.Microsecond)
	for _, name := range []string{"Connection", "X-Own", "Te", "Expect"} {
		if out.Get(name) != "" {
			t.Errorf("%s was forwarded", name)
		}
	}
	if out.Get("Accept-Encoding") != "br" || out.Get(HeaderTimeout) != "1" || out.Get(HeaderRequestID) != "r" {
		t.Errorf("header %v", out)
	}
	if in.Get("Connection") == "" {
		t.Error("the caller's header was changed")
	}
	response := http.Header{}
	response.Set("Keep-Alive", "timeout=5")
	response.Set(HeaderDraining, "true")
	response.Set("X-Kept", "1")
	clean, draining := ownProtocol.responseHeader(response)
	if !draining || clean.Get("Keep-Alive") != "" || clean.Get(HeaderDraining) != "" || clean.Get("X-Kept") != "1" {
		t.Errorf("draining %v, header %v", draining, clean)
	}
}
