//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// message is a request that a client has sent, with its answer.
type message struct {
	id, method, uri string
	sentAt          time.Time
	// status is zero if there was no complete answer.
	status  int
	stamped bool
	// endedAt is the time of the answer or of the end of the connection.
	endedAt time.Time
	why     string
}

func (m *message) String() string { return fmt.Sprintf("%s: %s %s", m.id, m.method, m.uri) }

// client is a client with one connection.
type client struct {
	d      *deployment
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

func (d *deployment) dial(name string, h *host) (*client, error) {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{d, name, conn, bufio.NewReader(conn)}, nil
}

// head returns a new request and its head without the empty line. deadlineMs is the time for which the client waits.
func (c *client) head(method, uri string, deadlineMs int, headers ...string) (*message, string) {
	m := &message{id: c.d.newID(), method: method, uri: uri}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, uri, hostName, m.id, deadlineMs)
	for _, h := range headers {
		text += h + "\r\n"
	}
	return m, text
}

// send writes bytes that complete the given requests.
func (c *client) send(text string, messages ...*message) error {
	_, err := io.WriteString(c.conn, text)
	now := time.Now()
	for _, m := range messages {
		m.sentAt = now
		c.d.note("client %s has sent %s", c.name, m)
	}
	return err
}

// receive reads the answers to requests in their order, until the connection ends.
func (c *client) receive(messages ...*message) {
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i, m := range messages {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: m.method})
		for err == nil && response.StatusCode == http.StatusContinue {
			response, err = http.ReadResponse(c.reader, &http.Request{Method: m.method})
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		now := time.Now()
		if err != nil {
			for _, unanswered := range messages[i:] {
				unanswered.endedAt, unanswered.why = now, err.Error()
				c.d.note("client %s: the connection ends without an answer to %s (%v), %d ms after it was sent", c.name, unanswered, err, now.Sub(unanswered.sentAt).Milliseconds())
			}
			return
		}
		m.status, m.stamped, m.endedAt = response.StatusCode, response.Header.Get("X-Server-Stamp") != "", now
		c.d.note("client %s gets %d to %s, signed by an upstream: %t, closes: %t", c.name, m.status, m, m.stamped, response.Close)
	}
}
