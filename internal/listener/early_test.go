package listener

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// always has all requests run early that may.
func always(*http.Request) bool { return true }

// post is a request with a body.
func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Callers that send requests behind a slow one lost them to their deadlines: nothing of them was passed on before it had ended. They
// must run at once, and be answered in their order.
func TestRequestsBehindASlowOneRunEarly(t *testing.T) {
	for _, apart := range []bool{false, true} {
		last := make(chan struct{})
		d := startDrainingEarly(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/0":
				<-last
			case "/3":
				close(last)
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}, always)
		d.checkOrder(4, apart)
	}
}

// However the bytes of requests arrive, with bodies or not, each answer must be that to its own request.
func TestEarlyAnswersBelongToTheirRequests(t *testing.T) {
	d := startDrainingEarly(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
	}, func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/never") })
	rapid.Check(t, func(rt *rapid.T) {
		var sent bytes.Buffer
		var want []string
		for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
			path := fmt.Sprintf("/%s/%d", rapid.SampledFrom([]string{"a", "never"}).Draw(rt, "kind"), i)
			if rapid.IntRange(0, 3).Draw(rt, "has body") == 0 {
				body := strings.Repeat("GET /x HTTP/1.1\r\n\r\n", rapid.IntRange(0, 3).Draw(rt, "length"))
				sent.WriteString(post(path, body))
				want = append(want, fmt.Sprintf("POST %s %s", path, body))
				continue
			}
			sent.WriteString(get(path))
			want = append(want, fmt.Sprintf("GET %s ", path))
		}
		conn := d.dial()
		defer func() { _ = conn.Close() }()
		go func() {
			for sent.Len() > 0 {
				_, _ = conn.Write(sent.Next(1 + rand.IntN(200)))
				time.Sleep(time.Duration(rand.IntN(2)) * time.Millisecond)
			}
		}()
		answers := bufio.NewReader(conn)
		for i, text := range want {
			res, err := http.ReadResponse(answers, nil)
			if err != nil {
				rt.Fatalf("request %d: %v", i, err)
			}
			if body, err := io.ReadAll(res.Body); err != nil || string(body) != text {
				rt.Fatalf("request %d: %q, %v; want %q", i, body, err, text)
			}
		}
	})
}

// Behind a request with a body, which may be refused with an answer that closes the connection, nothing is run early: callers send
// again what was sent behind such an answer.
func TestNothingRunsEarlyBehindABody(t *testing.T) {
	var behind atomic.Int64
	d := startDrainingEarly(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/behind" {
			behind.Add(1)
		}
		time.Sleep(30 * time.Millisecond)
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, r.URL.Path)
	}, always)
	conn := d.dial()
	write(t, conn, post("/first", "body")+get("/behind")+get("/behind"))
	if body, closes := readAnswer(t, bufio.NewReader(conn)); body != "/first" || !closes {
		t.Errorf("answer %q, closes: %v", body, closes)
	}
	if n := behind.Load(); n > 0 {
		t.Errorf("%d requests behind it ran", n)
	}
}

// A stop must answer each request that it has passed on, those that run early included, and pass none on that it does not answer.
func TestDrainAnswersEarlyRequests(t *testing.T) {
	var began atomic.Int64
	release := make(chan struct{})
	d := startDrainingEarly(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
		began.Add(1)
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	}, always)
	conn := d.dial()
	for i := range 8 {
		write(t, conn, get(fmt.Sprintf("/%d", i)))
	}
	d.eventually("requests run early", func() bool { return began.Load() == 1+mostEarly })
	d.drain()
	time.Sleep(20 * time.Millisecond)
	close(release)
	answers := bufio.NewReader(conn)
	answered := 0
	for {
		res, err := http.ReadResponse(answers, nil)
		if err != nil {
			break
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != fmt.Sprintf("/%d", answered) {
			t.Fatalf("answer %d: %q, %v", answered, body, err)
		}
		answered++
	}
	_ = conn.Close()
	d.ended()
	if n := began.Load(); n != int64(answered) || answered < 1+mostEarly {
		t.Errorf("%d requests were passed on and %d answered", n, answered)
	}
}

// A caller that leaves ends all its requests, those that run early too.
func TestCallerThatLeavesEndsItsEarlyRequests(t *testing.T) {
	for _, apart := range []bool{false, true} {
		var began, left atomic.Int64
		d := startDrainingEarly(t, open(), 0, func(_ http.ResponseWriter, r *http.Request) {
			began.Add(1)
			select {
			case <-r.Context().Done():
				left.Add(1)
			case <-time.After(testWait):
			}
		}, always)
		conn := d.dial()
		for range 3 {
			write(t, conn, get("/x"))
			if apart {
				time.Sleep(5 * time.Millisecond)
			}
		}
		d.eventually("requests run", func() bool { return began.Load() == 3 })
		_ = conn.Close()
		d.eventually(fmt.Sprintf("apart %v: the end of all", apart), func() bool { return left.Load() == 3 })
	}
}

// An early request whose handler gives no answer must end the connection, not shift the answers of the others.
func TestEarlyRequestWithoutAnAnswerEndsTheConnection(t *testing.T) {
	d := startDrainingEarly(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(10 * time.Millisecond)
		if r.URL.Path == "/1" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}, always)
	conn := d.dial()
	write(t, conn, get("/0")+get("/1")+get("/2"))
	answers := bufio.NewReader(conn)
	if body, _ := readAnswer(t, answers); body != "/0" {
		t.Errorf("answer %q", body)
	}
	if more, _ := io.ReadAll(answers); len(more) > 0 {
		t.Errorf("bytes in place of an answer: %q", more)
	}
}

// The scanner must find the same requests however their bytes are cut, and give up where the end of one is not known.
func TestScannerFindsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		want := 0
		for given := false; !given && want < 10; {
			want++
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				text.WriteString(get("/x"))
			case 3:
				text.WriteString(post("/x", "a\r\n\r\nb"))
			case 4:
				text.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/x"))
				given = true
				want--
			case 5:
				text.WriteString("GET / HTTP/1.1\r\nHost: h\r\nconnection:  close\r\n\r\n" + get("/x"))
				given = true
				want--
			}
		}
		var s scanner
		found := 0
		for text.Len() > 0 {
			for _, r := range s.scan(text.Next(rapid.IntRange(1, 80).Draw(t, "piece"))) {
				found++
				if r.number != found || !bytes.HasSuffix(r.head, headEnd) {
					t.Fatalf("request %d: %q", r.number, r.head)
				}
			}
		}
		if found != want {
			t.Fatalf("%d requests found, want %d", found, want)
		}
	})
}

// A head without end must not be kept.
func TestScannerBoundsAHead(t *testing.T) {
	var s scanner
	for range 1000 {
		s.scan(bytes.Repeat([]byte("x"), 1000))
	}
	if len(s.pending) > mostHead+1000 || !s.lost {
		t.Errorf("%d bytes kept", len(s.pending))
	}
}

// An early run must end with its context also after the server has read its request.
func TestDeliveryEndsWithItsCaller(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	run, cancel := context.WithCancel(context.Background())
	e := &early{cancel: cancel, done: make(chan struct{}), status: http.StatusOK, header: http.Header{}}
	go func() {
		<-run.Done()
		close(e.done)
	}()
	leave()
	e.deliver(ctx, &early{header: http.Header{}})
}

// A request hidden in a body must never run: the server and the scanner have to divide the bytes in the same way.
func TestHiddenRequestsNeverRun(t *testing.T) {
	hidden := "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	body := hidden + hidden + hidden
	for _, head := range []string{
		"POST /a HTTP/1.1\nHost: h\nContent-Length: %d\n\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : %d\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +%d\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: %d\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nX: y\r\n Content-Length: 0\r\nContent-Length: %d\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nTransfer-Encoding: identity\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nX: y\nContent-Length: %d\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length:%d\r\n\r\n",
		"POST /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nContent-Length: %d\r\n\r\n",
	} {
		for _, piece := range []int{1 << 20, 7} {
			var ran atomic.Int64
			d := startDrainingEarly(t, open(), 0, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/hidden" {
					ran.Add(1)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(w, r.URL.Path)
			}, always)
			conn := d.dial()
			text := bytes.NewBufferString(fmt.Sprintf(head, len(body)) + body + get("/b") + get("/c") + get("/d"))
			for text.Len() > 0 {
				_, _ = conn.Write(text.Next(piece))
			}
			time.Sleep(50 * time.Millisecond)
			_ = conn.Close()
			if n := ran.Load(); n > 0 {
				t.Errorf("%q in pieces of %d: hidden requests ran %d times", head, piece, n)
			}
		}
	}
}

// FuzzScannerDividesAsTheServer compares the scanner with the reader that the server uses.
func FuzzScannerDividesAsTheServer(f *testing.F) {
	f.Add([]byte(get("/a") + post("/b", "body") + get("/c")))
	f.Add([]byte("POST / HTTP/1.1\nHost: h\nContent-Length: 20\n\n" + get("/x")))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\nabc" + get("/x")))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s scanner
		found := s.scan(text)
		reader := bufio.NewReader(bytes.NewReader(text))
		for _, next := range found {
			mine, mineErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(next.head)))
			r, err := http.ReadRequest(reader)
			if err != nil {
				// The server answers 400 and closes, so nothing behind it is served.
				return
			}
			if mineErr != nil || !sameRequest(mine, r) {
				t.Fatalf("request %d: %q divided in another way", next.number, next.head)
			}
			if n, err := io.Copy(io.Discard, r.Body); err != nil || (n > 0) != next.hasBody {
				return
			}
		}
	})
}
