package simprotocol

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Encoder writes the replies to batches. Write errors are returned by Finish.
type Encoder struct {
	out             *bufio.Writer
	currentInstance string // instance in the last SOURCE line of this reply
	numberBuffer    []byte
}

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{out: bufio.NewWriterSize(w, 1<<16)}
}

// Finish ends the reply to a batch and flushes it.
func (e *Encoder) Finish() error {
	e.currentInstance = ""
	e.write("FINISHED\n")
	return e.out.Flush()
}

// write buffers text. A bufio.Writer keeps its first error, which Finish returns.
func (e *Encoder) write(text string) { _, _ = e.out.WriteString(text) }

// Host returns a policy.Host that writes an instance's actions into the current reply.
func (e *Encoder) Host(instance string) policy.Host {
	return &host{encoder: e, instance: instance}
}

// host implements policy.Host by writing each action as a line.
type host struct {
	encoder  *Encoder
	instance string
}

// begin starts the line of an action. Before the reply's first action, and when the instance changes, it writes
// a SOURCE line.
func (h *host) begin(action string) {
	if h.encoder.currentInstance != h.instance {
		h.encoder.currentInstance = h.instance
		h.encoder.write("SOURCE\ti=")
		h.encoder.write(h.instance)
		h.encoder.write("\n")
	}
	h.encoder.write(action)
}

// text adds a field with a text value to the line.
func (h *host) text(name, value string) {
	h.encoder.write("\t")
	h.encoder.write(name)
	h.encoder.write("=")
	h.encoder.write(value)
}

// number adds a field with an integer value to the line.
func (h *host) number(name string, value int64) {
	h.text(name, "")
	h.encoder.numberBuffer = strconv.AppendInt(h.encoder.numberBuffer[:0], value, 10)
	_, _ = h.encoder.out.Write(h.encoder.numberBuffer) // Finish returns the first write error
}

// end ends the line.
func (h *host) end() { h.encoder.write("\n") }

// Send implements policy.Host.
func (h *host) Send(request string, worker uint32, timeout time.Duration) {
	h.begin("ROUTE")
	h.text("txn", request)
	h.number("worker", int64(worker))
	if timeout != 0 {
		h.number("allow_for", int64(timeout))
	}
	h.end()
}

// Refuse implements policy.Host.
func (h *host) Refuse(request string, retryAfter time.Duration) {
	h.begin("DECLINE")
	h.text("txn", request)
	if retryAfter > 0 {
		h.number("hold_off", int64(retryAfter))
	}
	h.end()
}

// Fail implements policy.Host.
func (h *host) Fail(request string) {
	h.begin("RESPOND_ERROR")
	h.text("txn", request)
	h.end()
}

// Cancel implements policy.Host.
func (h *host) Cancel(request string, attempt int) {
	h.begin("CANCEL")
	h.text("txn", request)
	h.number("copy", int64(attempt))
	h.end()
}

// Probe implements policy.Host.
func (h *host) Probe(worker uint32) {
	h.begin("PING")
	h.number("worker", int64(worker))
	h.end()
}

// Timer implements policy.Host.
func (h *host) Timer(in time.Duration, token string) {
	h.begin("SCHEDULE")
	h.number("in", int64(in))
	h.text("ctx", token)
	h.end()
}

// Watch implements policy.Host.
func (h *host) Watch(on bool) {
	h.begin("OBSERVE")
	if on {
		h.number("active", 1)
	} else {
		h.number("active", 0)
	}
	h.end()
}

// Fetch implements policy.Host.
func (h *host) Fetch() {
	h.begin("GET_LIST")
	h.end()
}

// newlinesToSpaces replaces line breaks, because an action is one line.
var newlinesToSpaces = strings.NewReplacer("\n", " ", "\r", " ")

// Log implements policy.Host.
func (h *host) Log(text string) {
	h.begin("SAY_LOG")
	h.text("body_text", newlinesToSpaces.Replace(text))
	h.end()
}
