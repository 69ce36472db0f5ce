package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/gateway"
	"github.com/foxtailtack/foxtailtack/internal/standin/kvstore"
	"github.com/foxtailtack/foxtailtack/platform"
)

// failingDialect has an unexpected error in what it does with a request whose object is named "unexpected".
type failingDialect struct{ platform.Dialect }

func (d failingDialect) Request(r *http.Request) gateway.RequestInfo {
	info := d.Dialect.Request(r)
	if strings.HasPrefix(info.ID, "unexpected-request") {
		panic("unexpected error in a request")
	}
	return info
}

func (d failingDialect) Answer(header http.Header) gateway.AnswerInfo {
	if strings.HasPrefix(header.Get("X-Request-Id"), "unexpected-answer") {
		panic("unexpected error in an answer")
	}
	return d.Dialect.Answer(header)
}

// One request that meets an unexpected error must get an answer that promises nothing, must be found in the log, and must leave the
// others alone.
func TestUnexpectedErrorEndsOneRequestOnly(t *testing.T) {
	s := newServer(t, "i-1", nil)
	kv := kvstore.New()
	kv.Put("servers/i-1", `{"Service":"s","Addr":"`+s.address+`","Zone":"d","Slots":3,"State":"ready","ColdLeftMs":0,"Seq":1,"born":1}`)
	h := startHostWith(t, kv, failingDialect{}).configure()
	for range 3 {
		if res, body := h.send("POST", "/pay/x", "unexpected-answer-1", ""); res.StatusCode != http.StatusInternalServerError || strings.Contains(body, `"not_run":true`) {
			t.Errorf("the request gets %d %s", res.StatusCode, body)
		}
		if res, _ := h.send("POST", "/pay/x", "id-2", ""); res.StatusCode != http.StatusOK {
			t.Errorf("another request gets %d", res.StatusCode)
		}
	}
	if !strings.Contains(h.log.String(), "event=unexpected_error") || !strings.Contains(h.log.String(), "request_id=unexpected-answer-1") {
		t.Errorf("the error is not in the log:\n%s", h.log)
	}
}

// Bytes that are no message at the port for other hosts, and messages that say that they are huge, must not end the process or
// take its memory.
func TestPeerPortSurvivesWhatIsNoMessage(t *testing.T) {
	s := newServer(t, "i-1", nil)
	h := startHost(t, s).configure()
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\xfc\x3f\xff\xff\xff" + strings.Repeat("x", 1<<20), "\xf8\xff\xff\xff\xff\xff\xff\xff\xff",
		"\x00", "\x03\x01\x02\x03", strings.Repeat("\x02\xff\xff", 1000),
	} {
		conn, err := net.Dial("tcp", h.process.PeerAddress().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
		// The host closes the connection; only that it does counts.
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
	if res, _ := h.send("GET", "/look/x", "id-1", ""); res.StatusCode != http.StatusOK {
		t.Errorf("a request gets %d afterwards", res.StatusCode)
	}
}
