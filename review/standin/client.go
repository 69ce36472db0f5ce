//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// hostName is the host name of all routes.
const hostName = "ficu95.example"

var requestCount atomic.Int64

// newRequestID returns an id that no other request of the run has.
func newRequestID() string { return fmt.Sprintf("9c41d07b%08x", requestCount.Add(1)) }

// request is one request of a client.
type request struct {
	id, method, path, object, body string
	deadline                       time.Duration
}

func (r *request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Affinity-Key: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, hostName, r.id, r.object, r.deadline.Milliseconds())
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// outcome is what a client sees of a request.
type outcome struct {
	// status is zero if the connection ended without an answer.
	status int
	err    error
	size   int64
	stamp  string
}

// sendAll sends requests behind each other on a new connection, without waiting for answers, and reads the answers.
func sendAll(rec *record, address string, requests []*request) []outcome {
	return sendOn(rec, address, requests, len(requests))
}

// sendKept sends one request on a new connection, and after its answer the others without waiting for answers.
func sendKept(rec *record, address string, requests []*request) []outcome {
	return sendOn(rec, address, requests, 1)
}

// sendOn sends the first requests together, and after their answers all others together.
func sendOn(rec *record, address string, requests []*request, first int) []outcome {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return failAll(len(requests), err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	outcomes := exchange(rec, conn, reader, requests[:first])
	if first < len(requests) {
		if err := outcomes[first-1].err; err != nil {
			return append(outcomes, failAll(len(requests)-first, err)...)
		}
		outcomes = append(outcomes, exchange(rec, conn, reader, requests[first:])...)
	}
	return outcomes
}

func failAll(count int, err error) []outcome {
	outcomes := make([]outcome, count)
	for i := range outcomes {
		outcomes[i].err = err
	}
	return outcomes
}

// exchange sends requests together and reads their answers.
func exchange(rec *record, conn net.Conn, reader *bufio.Reader, requests []*request) []outcome {
	outcomes := make([]outcome, len(requests))
	var all strings.Builder
	for _, r := range requests {
		rec.log("client: sends %s %s %s to %s", r.id, r.method, r.path, conn.RemoteAddr())
		all.WriteString(r.bytes())
	}
	_ = conn.SetDeadline(time.Now().Add(requests[0].deadline + 2*time.Second))
	if _, err := conn.Write([]byte(all.String())); err != nil {
		return failAll(len(requests), err)
	}
	for i, r := range requests {
		outcomes[i] = readAnswer(reader, r)
		rec.log("client: %s gets status %d, %d bytes, error %v", r.id, outcomes[i].status, outcomes[i].size, outcomes[i].err)
		if outcomes[i].err != nil {
			for j := i + 1; j < len(requests); j++ {
				outcomes[j].err = outcomes[i].err
				rec.log("client: %s gets no answer", requests[j].id)
			}
			break
		}
	}
	return outcomes
}

// connectionEnded reports whether a connection ended without an answer, and not because its client stopped to wait.
func connectionEnded(o outcome) bool {
	var timeout net.Error
	return o.err != nil && !(errors.As(o.err, &timeout) && timeout.Timeout())
}

func readAnswer(reader *bufio.Reader, r *request) outcome {
	res, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	size, err := io.Copy(io.Discard, res.Body)
	return outcome{status: res.StatusCode, err: err, size: size, stamp: res.Header.Get("X-Server-Stamp")}
}
