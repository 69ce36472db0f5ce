package peer

import "time"

// SetDialTimeout replaces the timeout for opening connections. Tests that do not check that timeout use one that a busy machine does
// not reach.
func (c *Client) SetDialTimeout(timeout time.Duration) { c.dialTimeoutBase = timeout }
