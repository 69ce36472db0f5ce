package backend

import "time"

// SetConnectTimeout replaces the timeout for opening connections to servers that the client has not called yet. Tests that do not
// check that timeout use one that a busy machine does not reach.
func (c *Client) SetConnectTimeout(timeout time.Duration) { c.connectTimeout = timeout }
