package guard

import (
	"net"
)

// LimitMessages returns a connection whose Read fails when an encoding/gob message of more than maxBytes bytes arrives. The gob
// decoder itself accepts messages of up to a gigabyte, which is more than the memory of an entry host.
func LimitMessages(conn net.Conn, maxBytes uint64) net.Conn {
	return &limitedConn{Conn: conn, maxBytes: maxBytes}
}

// limitedConn parses the length prefix of each message. A length below 128 is encoded as one byte. A longer one is encoded as the
// negated count of its bytes, followed by these bytes in big-endian order.
type limitedConn struct {
	net.Conn
	maxBytes uint64
	// remaining is the number of bytes of the current message that have not arrived.
	remaining uint64
	// lengthBytesLeft is the number of bytes of the length prefix that have not arrived; length is the value of those that have.
	lengthBytesLeft int
	length          uint64
	// err is set once a message was too long.
	err error
}

// Read implements net.Conn. It returns the bytes before a message that is too long, and from then on an error.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if c.remaining > 0 {
			skip := min(c.remaining, uint64(len(rest)))
			c.remaining -= skip
			rest = rest[skip:]
			continue
		}
		if !c.readLengthByte(rest[0]) {
			c.err = Error.New("message is longer than %d bytes or has an invalid length", c.maxBytes)
			if valid := n - len(rest); valid > 0 {
				return valid, nil
			}
			return 0, c.err
		}
		rest = rest[1:]
	}
	return n, err
}

// maxLengthBytes is the largest number of bytes that follow the first byte of a length prefix.
const maxLengthBytes = 8

// readLengthByte processes the next byte of a length prefix and reports whether the length may be valid.
func (c *limitedConn) readLengthByte(b byte) bool {
	switch {
	case c.lengthBytesLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthBytesLeft--
	case b < 128:
		c.length = uint64(b)
	default:
		c.lengthBytesLeft, c.length = int(^b)+1, 0
		return c.lengthBytesLeft <= maxLengthBytes
	}
	if c.lengthBytesLeft == 0 {
		c.remaining = c.length
	}
	return c.length <= c.maxBytes
}
