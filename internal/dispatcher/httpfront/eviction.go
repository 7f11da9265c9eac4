package httpfront

import (
	"container/list"
	"time"
)

const (
	// freshGrace is how long a new connection may send nothing before it may be evicted. A usual client
	// sends at once. On a busy machine its bytes may still be unread; hasUnread finds them before the close.
	freshGrace = 100 * time.Millisecond
	// partialRequestGrace is how long a connection that has begun a request may take to send the rest before
	// it may be evicted.
	partialRequestGrace = 250 * time.Millisecond
	// evictionRetry is the delay until the next attempt if all candidates have unread bytes.
	evictionRetry = 5 * time.Millisecond
)

// tryAdd adds a connection and evicts another one if the limit is reached. If none can be evicted, it returns
// the time of the next attempt, otherwise the zero time.
func (l *limitedListener) tryAdd(c *limitedConn) (until time.Time) {
	l.mu.Lock()
	var victim *limitedConn
	if l.open >= l.maxConns {
		if victim, until = l.victim(time.Now()); victim == nil {
			l.mu.Unlock()
			return until
		}
		victim.release()
	}
	l.open++
	c.moveTo(&l.fresh)
	l.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close() // an error changes nothing for the client
	}
	return time.Time{}
}

// addBeyondLimit adds the last connection above the limit: it had been accepted, and has its descriptor, but
// waited for another to be closed or evicted when the listener was closed.
func (l *limitedListener) addBeyondLimit(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.moveTo(&l.fresh)
}

// victim returns the connection to evict. In order of preference that is an idle one that never carried a job
// or a callback, one that has sent nothing within freshGrace, one whose request is still incomplete after
// partialRequestGrace, and an idle one that has carried work. The close of an idle connection is harmless: a
// client must always expect it, and repeats a request that was sent at the same time. A connection with unread
// bytes is never evicted: the close would reset it and lose the request. If there is no candidate, victim
// returns nil and the time of the next attempt.
func (l *limitedListener) victim(now time.Time) (c *limitedConn, until time.Time) {
	until = now.Add(time.Hour)
	evictable := func(c *limitedConn) bool {
		if c.hasUnread() {
			until = earlier(until, now.Add(evictionRetry))
			return false
		}
		return true
	}
	if c := first(&l.idleUnused, evictable); c != nil {
		return c, until
	}
	var slow []*limitedConn
	for element := l.fresh.Front(); element != nil; element = element.Next() {
		c := element.Value.(*limitedConn)
		wait := freshGrace
		if c.sentBytes {
			wait = partialRequestGrace
		}
		switch due := c.since.Add(wait); {
		case due.After(now):
			until = earlier(until, due)
		case c.sentBytes:
			slow = append(slow, c)
		case evictable(c):
			return c, until
		}
	}
	for _, c := range slow {
		if evictable(c) {
			return c, until
		}
	}
	c = first(&l.idleUsed, evictable)
	return c, until
}

// first returns the first connection of a list for which passes returns true, or nil.
func first(l *list.List, passes func(*limitedConn) bool) *limitedConn {
	for at := l.Front(); at != nil; {
		c := at.Value.(*limitedConn)
		at = at.Next() // before passes, which may remove c from the list
		if passes(c) {
			return c
		}
	}
	return nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
