package httpfront

import (
	"container/list"
	"time"
)

const (
	// freshGrace is how long a new connection may send nothing before it may be evicted. A usual client
	// sends at once. What it sent and nobody has read yet, on a busy machine, is seen before the close.
	freshGrace = 100 * time.Millisecond
	// partialRequestGrace is how long one that has begun a request has to send the rest.
	partialRequestGrace = 250 * time.Millisecond
	// evictionRetry is the delay until the next look where all candidates have unread bytes.
	evictionRetry = 5 * time.Millisecond
)

// tryAdd adds a connection, in another's place if need be. Where none can be evicted it returns when to
// try again.
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
		_ = victim.Conn.Close() // its client is told nothing either way
	}
	return time.Time{}
}

// addBeyondLimit adds the last connection, which waited for a place as the listener was closed and has
// its descriptor already.
func (l *limitedListener) addBeyondLimit(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.moveTo(&l.fresh)
}

// victim returns the connection that can best be evicted: an idle one that was never of use, one that has
// sent nothing in the time that a usual client needs, one that has not sent all in that time, an idle one.
// A client may always meet the close of an idle connection, and sends again what crosses it. One with
// unread bytes is no victim: the close would reset it, and what they ask would be lost. Nil: there is none
// before the returned time.
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

// first returns the first connection of a list that passes; nil: none does.
func first(l *list.List, passes func(*limitedConn) bool) *limitedConn {
	for at := l.Front(); at != nil; {
		c := at.Value.(*limitedConn)
		at = at.Next() // before the connection may leave the list
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
