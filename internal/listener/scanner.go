package listener

import (
	"bytes"
	"strconv"
	"time"
)

// maxHeadBytes bounds the request heads that the scanner handles. Requests with a longer head, and those after them, are left to the
// server.
const maxHeadBytes = 16 << 10

// maxChunkLineBytes bounds the line before a chunk: eight hexadecimal digits and the end of the line.
const maxChunkLineBytes = 10

// chunkedBody is the length of a body that is sent in chunks.
const chunkedBody = -1

// Delimiters in the HTTP/1.1 byte stream.
var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// scanner finds the requests in the bytes of a connection before the server reads them. It stops at the first request whose end it
// cannot determine, or that is the last of its connection.
type scanner struct {
	// pending is the received part of an incomplete head or line of a chunk. bodyRemaining is the number of bytes of the current body or
	// chunk that were not received yet.
	pending       []byte
	bodyRemaining int64
	// inChunks is true until the end of a body in chunks. lastChunk is true after its last chunk, which is empty.
	inChunks, lastChunk bool
	stopped             bool
	// foundCount is the number of requests that were found.
	foundCount int
}

// scannedRequest is the head of a request with the request's number on the connection, counted from 1.
type scannedRequest struct {
	number  int
	head    []byte
	hasBody bool
	// receivedAt is the time at which the last byte of the head was received.
	receivedAt time.Time
}

// scan processes bytes of the connection that were received at a time and returns the requests whose heads they complete.
func (s *scanner) scan(p []byte, receivedAt time.Time) []scannedRequest {
	var list []scannedRequest
	for !s.stopped && len(p) > 0 {
		if s.bodyRemaining > 0 {
			skip := min(s.bodyRemaining, int64(len(p)))
			s.bodyRemaining -= skip
			p = p[skip:]
			continue
		}
		if s.inChunks {
			p = s.scanChunkLine(p)
			continue
		}
		from := max(0, len(s.pending)-len(headEnd)+1)
		s.pending = append(s.pending, p...)
		end := bytes.Index(s.pending[from:], headEnd)
		if end < 0 {
			s.stopped = len(s.pending) > maxHeadBytes
			return list
		}
		head := s.pending[:from+end+len(headEnd)]
		p = s.pending[len(head):]
		s.pending = nil
		s.foundCount++
		var ok bool
		if s.bodyRemaining, ok = bodyLength(head); !ok {
			s.stopped = true
			return list
		}
		list = append(list, scannedRequest{s.foundCount, head, s.bodyRemaining != 0, receivedAt})
		if s.bodyRemaining == chunkedBody {
			s.bodyRemaining, s.inChunks = 0, true
		}
	}
	return list
}

// scanChunkLine processes the line before a chunk, or the empty one after the last chunk, and returns the bytes after it. It stops the
// scanner at chunk extensions and trailers.
func (s *scanner) scanChunkLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n') + 1
	if end == 0 {
		s.pending = append(s.pending, p...)
		s.stopped = len(s.pending) > maxChunkLineBytes
		return nil
	}
	line, ok := bytes.CutSuffix(append(s.pending, p[:end]...), lineEnd)
	s.pending = nil
	switch {
	case !ok:
		s.stopped = true
	case s.lastChunk:
		s.stopped, s.inChunks, s.lastChunk = len(line) > 0, false, false
	default:
		size, err := strconv.ParseUint(string(line), 16, 32)
		s.stopped = err != nil || len(line)+len(lineEnd) > maxChunkLineBytes
		s.lastChunk = size == 0
		if size > 0 {
			s.bodyRemaining = int64(size) + int64(len(lineEnd))
		}
	}
	return p[end:]
}

// bodyLength returns the length of the body that follows a head, or chunkedBody. It returns false if the end of the body cannot be determined, or if
// no request may follow it. It also returns false for anything that the server might parse differently: otherwise a request smuggled
// in a body would run.
func bodyLength(head []byte) (int64, bool) {
	length, seen, chunked := int64(0), false, false
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
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return 0, false
			}
			chunked = true
		case bytes.EqualFold(name, []byte("Expect")), bytes.EqualFold(name, []byte("Upgrade")):
			return 0, false
		}
	}
	if chunked {
		return chunkedBody, !seen
	}
	return length, true
}
