package guard

import (
	"net"
)

// LimitMessages returns a connection on which no received message of encoding/gob is longer than a number of bytes. The decoder
// itself takes up to a gigabyte, more than an entry host has.
func LimitMessages(conn net.Conn, most uint64) net.Conn {
	return &limitedConn{Conn: conn, most: most}
}

// limitedConn follows the lengths that stand before each message. A length below 128 is one byte; others are the negated number of
// bytes that follow, and those bytes, the highest first.
type limitedConn struct {
	net.Conn
	most uint64
	// left is the number of bytes of the current message that are still to come.
	left uint64
	// digits is the number of bytes of a length that are still to come, length what they told so far.
	digits int
	length uint64
	// failed is set once a message was too long.
	failed error
}

// Read implements net.Conn. A message that is too long ends the connection for its reader; what came before it is still read.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if c.left > 0 {
			skip := min(c.left, uint64(len(rest)))
			c.left -= skip
			rest = rest[skip:]
			continue
		}
		if !c.takeLength(rest[0]) {
			c.failed = Error.New("a message of more than %d bytes", c.most)
			if before := n - len(rest); before > 0 {
				return before, nil
			}
			return 0, c.failed
		}
		rest = rest[1:]
	}
	return n, err
}

// mostDigits is the number of bytes of the longest length.
const mostDigits = 8

// takeLength takes the next byte of a length and reports whether the length may be valid.
func (c *limitedConn) takeLength(b byte) bool {
	switch {
	case c.digits > 0:
		c.length = c.length<<8 | uint64(b)
		c.digits--
	case b < 128:
		c.length = uint64(b)
	default:
		c.digits, c.length = int(^b)+1, 0
		return c.digits <= mostDigits
	}
	if c.digits == 0 {
		c.left = c.length
	}
	return c.length <= c.most
}
