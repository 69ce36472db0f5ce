package listener

import (
	"bytes"
	"strconv"
)

// mostHead bounds the head of a request that is followed, in bytes. A longer one is left to the server.
const mostHead = 16 << 10

// Marks in the bytes of a connection.
var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// scanner finds the requests in the bytes of a connection before the server reads them. It gives up at the first one whose end it
// cannot tell, or that is the last of its connection.
type scanner struct {
	// pending is the part of a head that has come so far; body is the number of bytes of a body that are still to come.
	pending []byte
	body    int64
	lost    bool
	// found is the number of requests that were found.
	found int
}

// scanned is a request with its number on the connection, counted from 1.
type scanned struct {
	number  int
	head    []byte
	hasBody bool
}

// scan takes the next bytes of the connection and returns the requests whose heads they complete.
func (s *scanner) scan(p []byte) []scanned {
	var list []scanned
	for !s.lost && len(p) > 0 {
		if s.body > 0 {
			skip := min(s.body, int64(len(p)))
			s.body -= skip
			p = p[skip:]
			continue
		}
		from := max(0, len(s.pending)-len(headEnd)+1)
		s.pending = append(s.pending, p...)
		end := bytes.Index(s.pending[from:], headEnd)
		if end < 0 {
			s.lost = len(s.pending) > mostHead
			return list
		}
		head := s.pending[:from+end+len(headEnd)]
		p = s.pending[len(head):]
		s.pending = nil
		s.found++
		var ok bool
		if s.body, ok = bodyLength(head); !ok {
			s.lost = true
			return list
		}
		list = append(list, scanned{s.found, head, s.body > 0})
	}
	return list
}

// bodyLength returns the length of the body that follows a head. It reports false if the end of the body cannot be told, or nothing
// may follow it. What the server might read in another way counts as unknown: a request hidden in a body would else run.
func bodyLength(head []byte) (int64, bool) {
	length, seen := int64(0), false
	lines := bytes.Split(head[:len(head)-len(headEnd)], lineEnd)
	for i, line := range lines {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return 0, false
		}
		if i == 0 {
			if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
				return 0, false
			}
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return 0, false
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
			if err != nil || seen {
				return 0, false
			}
			length, seen = int64(n), true
		case bytes.EqualFold(name, []byte("Connection")):
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("keep-alive")) {
				return 0, false
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")), bytes.EqualFold(name, []byte("Expect")), bytes.EqualFold(name, []byte("Upgrade")):
			return 0, false
		}
	}
	return length, true
}
