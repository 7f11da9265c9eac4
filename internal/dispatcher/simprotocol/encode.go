package simprotocol

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Encoder writes the replies to batches.
type Encoder struct {
	out             *bufio.Writer
	currentInstance string // instance that the last SOURCE line named
	numberBuffer    []byte
}

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{out: bufio.NewWriterSize(w, 1<<16)}
}

// Finish ends the reply to a batch and flushes it.
func (e *Encoder) Finish() error {
	e.currentInstance = ""
	e.out.WriteString("FINISHED\n")
	return e.out.Flush()
}

// Host returns a host that writes an instance's actions.
func (e *Encoder) Host(instance string) policy.Host {
	return &host{e, instance}
}

type host struct {
	e        *Encoder
	instance string
}

// begin starts an action, after a SOURCE line where the instance changes.
func (h *host) begin(action string) {
	if h.e.currentInstance != h.instance {
		h.e.currentInstance = h.instance
		h.e.out.WriteString("SOURCE\ti=")
		h.e.out.WriteString(h.instance)
		h.e.out.WriteByte('\n')
	}
	h.e.out.WriteString(action)
}

func (h *host) text(name, value string) {
	h.e.out.WriteByte('\t')
	h.e.out.WriteString(name)
	h.e.out.WriteByte('=')
	h.e.out.WriteString(value)
}

func (h *host) number(name string, value int64) {
	h.text(name, "")
	h.e.numberBuffer = strconv.AppendInt(h.e.numberBuffer[:0], value, 10)
	h.e.out.Write(h.e.numberBuffer)
}

func (h *host) end() { h.e.out.WriteByte('\n') }

// Send implements basaltloft.Host.
func (h *host) Send(request string, worker uint32, timeout time.Duration) {
	h.begin("ROUTE")
	h.text("txn", request)
	h.number("worker", int64(worker))
	if timeout != 0 {
		h.number("allow_for", int64(timeout))
	}
	h.end()
}

// Refuse implements basaltloft.Host.
func (h *host) Refuse(request string, retryAfter time.Duration) {
	h.begin("DECLINE")
	h.text("txn", request)
	if retryAfter > 0 {
		h.number("hold_off", int64(retryAfter))
	}
	h.end()
}

// Fail implements basaltloft.Host.
func (h *host) Fail(request string) {
	h.begin("RESPOND_ERROR")
	h.text("txn", request)
	h.end()
}

// Cancel implements basaltloft.Host.
func (h *host) Cancel(request string, attempt int) {
	h.begin("CANCEL")
	h.text("txn", request)
	h.number("copy", int64(attempt))
	h.end()
}

// Probe implements basaltloft.Host.
func (h *host) Probe(worker uint32) {
	h.begin("PING")
	h.number("worker", int64(worker))
	h.end()
}

// Timer implements basaltloft.Host.
func (h *host) Timer(in time.Duration, token string) {
	h.begin("SCHEDULE")
	h.number("in", int64(in))
	h.text("ctx", token)
	h.end()
}

// Watch implements basaltloft.Host.
func (h *host) Watch(on bool) {
	h.begin("OBSERVE")
	if on {
		h.number("active", 1)
	} else {
		h.number("active", 0)
	}
	h.end()
}

// Fetch implements basaltloft.Host.
func (h *host) Fetch() {
	h.begin("GET_LIST")
	h.end()
}

var newlinesToSpaces = strings.NewReplacer("\n", " ", "\r", " ")

// Log implements basaltloft.Host.
func (h *host) Log(text string) {
	h.begin("SAY_LOG")
	h.text("body_text", newlinesToSpaces.Replace(text))
	h.end()
}
