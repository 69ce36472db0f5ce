package httpconn

import (
	"bytes"
	"strings"
)

// ErrInvalidHead is returned by a read of a response whose head has an invalid field name, or a transfer coding in a version of HTTP that has
// none.
var ErrInvalidHead = Error.New("the head of the response has an invalid field name, or a transfer coding before HTTP/1.1")

// fieldTransferEncoding is the name of the field that states a transfer coding. Names are compared without regard to case.
const fieldTransferEncoding = "Transfer-Encoding"

// maxStatusBytes is the length of the part of a status line in which the status is looked for.
const maxStatusBytes = 32

// headState is the part of a head to which the next byte belongs.
type headState uint8

const (
	inStatusLine headState = iota
	atLineStart
	inFieldName
	inFieldValue
	// inEmptyLine follows the carriage return of the line that ends the head.
	inEmptyLine
	afterHead
)

// headChecker checks the field names in the head of a response, and of the interim responses before it, as their bytes arrive. net/http
// accepts names with a blank, and two kinds of lines that another name can be taken for: a line that begins with a blank continues the value
// before it, and a line feed alone ends the head. It ignores the transfer coding of a response before HTTP/1.1 and takes the chunk lines for a
// part of the body; the framing of such a message is faulty (RFC 9112, section 6.1).
type headChecker struct {
	state headState
	// statusLine is the beginning of the status line.
	statusLine []byte
	// isBeforeHTTP11 is true if the status line states a version before HTTP/1.1. Then fieldName is the beginning of the current field name.
	isBeforeHTTP11 bool
	fieldName      []byte
	// endsWithCR is true if the latest byte was a carriage return.
	endsWithCR bool
	// usesCRLF is true if the status line ended with CRLF. Then a line feed alone does not end the head.
	usesCRLF bool
}

// next prepares the checker for the next response. It does nothing while a head is incomplete.
func (h *headChecker) next() {
	if h.state == afterHead {
		h.restart()
	}
}

func (h *headChecker) restart() {
	*h = headChecker{statusLine: h.statusLine[:0], fieldName: h.fieldName[:0]}
}

// check checks the next bytes of the connection. Errors: ErrInvalidHead.
func (h *headChecker) check(data []byte) error {
	for _, b := range data {
		if h.state == afterHead {
			return nil
		}
		if !h.checkByte(b) {
			return ErrInvalidHead
		}
		h.endsWithCR = b == '\r'
	}
	return nil
}

// checkByte checks a byte of a head and reports whether it is allowed at its place.
func (h *headChecker) checkByte(b byte) bool {
	switch h.state {
	case inStatusLine:
		h.readStatusLine(b)
	case atLineStart:
		switch {
		case b == '\r':
			h.state = inEmptyLine
		case b == '\n' && !h.usesCRLF:
			h.endHead()
		case !isTokenByte(b):
			return false
		default:
			h.state = inFieldName
			h.fieldName = h.fieldName[:0]
			h.keepFieldName(b)
		}
	case inFieldName:
		if b == ':' {
			h.state = inFieldValue
			return !bytes.EqualFold(h.fieldName, []byte(fieldTransferEncoding))
		}
		h.keepFieldName(b)
		return isTokenByte(b)
	case inFieldValue:
		if b == '\n' {
			h.state = atLineStart
		}
	case inEmptyLine:
		if b != '\n' {
			return false
		}
		h.endHead()
	}
	return true
}

func (h *headChecker) readStatusLine(b byte) {
	switch {
	case b == '\n':
		h.usesCRLF = h.endsWithCR
		h.isBeforeHTTP11 = isBeforeHTTP11(h.statusLine)
		h.state = atLineStart
	case len(h.statusLine) < maxStatusBytes:
		h.statusLine = append(h.statusLine, b)
	}
}

// keepFieldName appends a byte to the field name of a response before HTTP/1.1. One byte more than the longest name of interest is kept.
func (h *headChecker) keepFieldName(b byte) {
	if h.isBeforeHTTP11 && len(h.fieldName) <= len(fieldTransferEncoding) {
		h.fieldName = append(h.fieldName, b)
	}
}

// isBeforeHTTP11 reports whether a status line states a version before HTTP/1.1. net/http rejects versions that are no two digits.
func isBeforeHTTP11(statusLine []byte) bool {
	version, ok := bytes.CutPrefix(statusLine, []byte("HTTP/"))
	return ok && (bytes.HasPrefix(version, []byte("0.")) || bytes.HasPrefix(version, []byte("1.0")))
}

// endHead continues with the head that follows if the response is an interim one.
func (h *headChecker) endHead() {
	if isInterim(h.statusLine) {
		h.restart()
		return
	}
	h.state = afterHead
}

// isInterim reports whether net/http takes a response with a status line for an interim one, which another head follows.
func isInterim(statusLine []byte) bool {
	_, status, _ := bytes.Cut(statusLine, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}

// isTokenByte reports whether a byte may be part of a field name (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}
