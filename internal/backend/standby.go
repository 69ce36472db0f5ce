package backend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Opening a connection to another region takes a round trip of more than 100 ms. A host of a large deployment sends a request to a given
// server only every few seconds, so an idle connection is often closed before the next request, which would then be late. The client
// therefore keeps idle connections for as long as the server announces, and replaces those to distant servers in the background.

const (
	// standbyInterval is the time between two checks for connections to replace.
	standbyInterval = 500 * time.Millisecond
	// distantConnectTime is the time to open a connection from which a server counts as distant.
	distantConnectTime = 20 * time.Millisecond
	// standbyWindow is the time after the latest request to a server for which a connection to it is kept open.
	standbyWindow = 25 * time.Second
	// idleMargin is the time before the announced idle timeout at which an idle connection is no longer used for repeatable work. For
	// non-repeatable work it is twice this time: the outcome of a request that crosses the close is unknown.
	idleMargin = time.Second
	// minAnnouncedIdle and maxAnnouncedIdle limit the announced idle timeouts that are used.
	minAnnouncedIdle = 6 * time.Second
	maxAnnouncedIdle = 30 * time.Second
)

// parseKeepAlive returns the idle timeout that a Keep-Alive header announces, or zero if there is none.
func parseKeepAlive(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(strings.TrimSpace(name), "timeout") && seconds > 0 {
			return min(time.Duration(min(seconds, 1<<20))*time.Second, maxAnnouncedIdle)
		}
	}
	return 0
}

// standby is an open connection to a server that no request has used yet.
type standby struct {
	conn net.Conn
	// openedAt is the time at which the connection was opened. opening is true while it is being opened.
	openedAt time.Time
	opening  bool
}

// expired reports whether the server may close the connection soon.
func (b *standby) expired(idle time.Duration, now time.Time) bool {
	return now.Sub(b.openedAt) >= idle-2*idleMargin
}

// isStandbyDue reports whether a connection is to be opened although there is no request: the idle connections to a distant server are
// about to be closed, and requests to it are likely.
func (s *serverConns) isStandbyDue(now time.Time) bool {
	unused := now.Sub(s.lastUsed)
	return s.distant && !s.standby.opening && s.announcedIdle > 0 && unused < standbyWindow && unused >= s.announcedIdle-3*idleMargin &&
		(s.standby.conn == nil || s.standby.expired(s.announcedIdle, now))
}

// refreshStandby opens a connection in the background if one is due, and closes one that is no longer needed.
func (s *serverConns) refreshStandby(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.isStandbyDue(now)
	if s.standby.conn != nil && (due || now.Sub(s.lastUsed) >= standbyWindow) {
		s.closeStandbyLocked()
	}
	if due {
		s.standby.opening = true
		go s.openStandby()
	}
}

func (s *serverConns) openStandby() {
	ctx, cancel := context.WithTimeout(context.Background(), s.connectTimeout)
	defer cancel()
	conn, err := s.open(ctx, "tcp", s.address.String())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby.opening = false
	switch {
	case err != nil:
	case s.retired:
		_ = conn.Close()
	default:
		conn.isStandby = true
		s.standby.conn, s.standby.openedAt = conn, time.Now()
	}
}

// takeStandby returns the standby connection, or nil if there is none that can be used.
func (s *serverConns) takeStandby() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby.conn != nil && s.standby.expired(s.announcedIdle, time.Now()) {
		s.closeStandbyLocked()
	}
	conn := s.standby.conn
	s.standby.conn = nil
	return conn
}

// closeStandbyLocked closes the standby connection, if there is one. The caller holds the lock.
func (s *serverConns) closeStandbyLocked() {
	if s.standby.conn != nil {
		_ = s.standby.conn.Close()
		s.standby.conn = nil
	}
}

// RunStandby keeps connections to distant servers open until ctx is done.
func (c *Client) RunStandby(ctx context.Context) {
	ticker := time.NewTicker(standbyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, s := range c.standbyServers() {
				s.refreshStandby(now)
			}
		}
	}
}

// standbyServers returns the connections to all servers, or none if standby connections are off.
func (c *Client) standbyServers() []*serverConns {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.standby {
		return nil
	}
	list := make([]*serverConns, 0, len(c.servers))
	for _, s := range c.servers {
		list = append(list, s)
	}
	return list
}

// SetStandby turns longer idle times and standby connections on or off for servers to which connections are opened afterwards.
func (c *Client) SetStandby(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.standby = on
}

// keepLonger makes the client keep idle connections to the server as long as it announces. Until its first response, the timeout that
// another server announced last is assumed.
func (s *serverConns) keepLonger(lastAnnounced *atomic.Int64) {
	s.lastAnnounced = lastAnnounced
	if announced := lastAnnounced.Load(); announced > 0 {
		s.recordKeepAlive(time.Duration(announced))
	}
}

// recordKeepAlive applies the idle timeout that a server announces. Open connections keep the earlier one.
func (s *serverConns) recordKeepAlive(announced time.Duration) {
	if s.lastAnnounced == nil || announced < minAnnouncedIdle {
		return
	}
	s.lastAnnounced.Store(int64(announced))
	s.mu.Lock()
	defer s.mu.Unlock()
	if announced == s.announcedIdle {
		return
	}
	s.announcedIdle = announced
	s.pooled = s.newTransport(announced - idleMargin)
	if s.recentlyUsed != nil {
		s.recentlyUsed = s.newTransport(announced - 2*idleMargin)
	}
}
