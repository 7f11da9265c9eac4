package engine

import "time"

// queuedEvent is an event and when it was posted; zero for a timer.
type queuedEvent struct {
	at  time.Time
	run func()
}

// post hands an event to Run's goroutine. It never waits: a transport posts while
// it holds a lock that its Start, called by Run's goroutine, needs too. What
// may be queued is bounded by who posts: each connection, flow and callback
// waits for its event before it causes another.
func (e *Engine) post(event func()) {
	e.mu.Lock()
	e.events = append(e.events, queuedEvent{time.Now(), event})
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// takeEvents empties the queue of events.
func (e *Engine) takeEvents() []queuedEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.events
	e.events = nil
	return events
}

// handle runs one event and what it deferred. The policy's methods must not be called from within its
// host's: those append what follows to deferred.
func (e *Engine) handle(event queuedEvent) {
	e.now = time.Now()
	if !event.at.IsZero() {
		e.delay.Observe(e.now.Sub(event.at), e.now)
	}
	event.run()
	for len(e.deferred) > 0 {
		next := e.deferred[0]
		e.deferred = e.deferred[1:]
		next()
	}
}

// Do runs a function on Run's goroutine and waits until it has returned, or until Run has. It must not
// be called by Run's goroutine.
func (e *Engine) Do(event func()) {
	done := make(chan struct{})
	e.post(func() { event(); close(done) })
	select {
	case <-done:
	case <-e.stopped:
	}
}
