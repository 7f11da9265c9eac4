package engine

import "time"

// queuedEvent is an event of Run's goroutine.
type queuedEvent struct {
	at  time.Time // when it was posted; zero for a timer
	run func()
}

// post queues an event for Run's goroutine. It never blocks: a transport posts while it holds a lock that
// its Start, called by Run's goroutine, needs too. The queue is bounded by its producers: each connection,
// flow and callback waits for its event to be handled before it causes another.
func (e *Engine) post(event func()) {
	e.mu.Lock()
	e.events = append(e.events, queuedEvent{time.Now(), event})
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// takeEvents removes and returns all queued events.
func (e *Engine) takeEvents() []queuedEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.events
	e.events = nil
	return events
}

// handle runs one event and the functions that it deferred. The policy's methods must not be called from
// within those of its host, which append follow-up calls to deferred instead.
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
