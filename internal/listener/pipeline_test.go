package listener

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// get is a request for a path, as callers send it behind others on one connection.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readAnswer returns the body of the next answer and whether it closes the connection.
func readAnswer(t *testing.T, r *bufio.Reader) (string, bool) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("the answer ends early: %v", err)
	}
	return string(body), res.Close
}

// Requests that were sent behind a slow one must be answered after it and in their order, however the bytes arrive; a caller would
// else take one answer for another.
func TestRequestsBehindASlowOneAreAnsweredInOrder(t *testing.T) {
	for _, apart := range []bool{false, true} {
		d := startDrainingWith(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/0" {
				time.Sleep(50 * time.Millisecond)
			}
			_, _ = io.WriteString(w, r.URL.Path)
		})
		d.checkOrder(5, apart)
	}
}

// checkOrder sends a number of requests for /0, /1 and so on, at once or one after the other, and reads their answers.
func (d *draining) checkOrder(count int, apart bool) {
	d.t.Helper()
	conn := d.dial()
	for i := range count {
		write(d.t, conn, get(fmt.Sprintf("/%d", i)))
		if apart {
			time.Sleep(5 * time.Millisecond)
		}
	}
	answers := bufio.NewReader(conn)
	for i := range count {
		if body, _ := readAnswer(d.t, answers); body != fmt.Sprintf("/%d", i) {
			d.t.Fatalf("apart %v: answer %d is for %s", apart, i, body)
		}
	}
}

// Behind an answer that closes the connection nothing is read. The kernel resets a connection that is closed with unread bytes, and
// the caller then lost the answer.
func TestAnswerThatClosesIsDeliveredThoughMoreWasSent(t *testing.T) {
	var handled atomic.Int64
	body := strings.Repeat("x", 1<<20)
	d := startDrainingWith(t, open(), 0, func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, body)
	})
	conn := d.dial()
	write(t, conn, get("/first"))
	time.Sleep(20 * time.Millisecond)
	go func() { _, _ = io.WriteString(conn, strings.Repeat(get("/behind"), 10_000)) }()
	time.Sleep(150 * time.Millisecond)
	got, closes := readAnswer(t, bufio.NewReader(conn))
	if got != body || !closes {
		t.Errorf("%d of %d bytes, closes: %v", len(got), len(body), closes)
	}
	if n := handled.Load(); n != 1 {
		t.Errorf("%d requests were passed on, want the first only", n)
	}
}

// A request whose bytes came together with those of the one before is read without a read from the connection. A stop took its
// connection for idle and cut it while its backend server worked.
func TestDrainAnswersARequestThatWasReadWithTheOneBefore(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	d := startDrainingWith(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(started)
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	conn := d.dial()
	write(t, conn, get("/first")+get("/second")+get("/third")+get("/fourth"))
	<-started
	d.drain()
	time.Sleep(20 * time.Millisecond)
	close(release)
	answers := bufio.NewReader(conn)
	for _, path := range []string{"/first", "/second", "/third"} {
		if body, closes := readAnswer(t, answers); body != path || closes != (path == "/third") {
			t.Errorf("answer %q, closes: %v; want %q", body, closes, path)
		}
	}
	if more, _ := io.ReadAll(answers); len(more) > 0 {
		t.Errorf("bytes behind the answer that closes: %q", more)
	}
	_ = conn.Close()
	d.ended()
}

// A caller that leaves while a next request waits behind the running one must end that one; else its backend server goes on working.
func TestCallerThatLeavesEndsItsRequestThoughAnotherWaits(t *testing.T) {
	for _, sent := range []string{"", get("/behind"), strings.Repeat(get("/behind"), 100)} {
		left := make(chan bool, 1)
		d := startDrainingWith(t, open(), 0, func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				left <- true
			case <-time.After(testWait):
				left <- false
			}
		})
		conn := d.dial()
		write(t, conn, get("/first"))
		time.Sleep(20 * time.Millisecond)
		write(t, conn, sent)
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
		if !<-left {
			t.Errorf("with %d bytes behind it the request goes on", len(sent))
		}
	}
}

// What callers send behind a running request is read ahead only up to a bound, and all of it is answered in the end.
func TestReadingAheadIsBounded(t *testing.T) {
	const behind = 20_000
	release := make(chan struct{})
	d := startDrainingWith(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	conn := d.dial()
	write(t, conn, get("/first"))
	time.Sleep(20 * time.Millisecond)
	go func() { _, _ = conn.Write(bytes.Repeat([]byte(get("/behind")), behind)) }()
	time.Sleep(200 * time.Millisecond)
	d.l.open.mu.Lock()
	for c := range d.l.open.open {
		c.mu.Lock()
		if n := len(c.ahead.bytes); n == 0 || n > mostAhead+4<<10 {
			t.Errorf("%d bytes were read ahead, bound %d", n, mostAhead)
		}
		c.mu.Unlock()
	}
	d.l.open.mu.Unlock()
	close(release)
	answers := bufio.NewReader(conn)
	for range behind + 1 {
		// A busy machine may need long for all of them; each answer has to follow the one before.
		_ = conn.SetDeadline(time.Now().Add(testWait))
		_, _ = readAnswer(t, answers)
	}
}
