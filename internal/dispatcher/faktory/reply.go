package faktory

import (
	"fmt"
	"strings"
)

// okReply is the reply to a command that was accepted and has nothing to return.
const okReply = "+OK\r\n"

// simpleReply returns a reply of one line of text.
func simpleReply(text string) string { return "+" + singleLine(text) + "\r\n" }

// errorReply returns the reply to a command that was not accepted.
func errorReply(format string, args ...any) string {
	return "-ERR " + singleLine(fmt.Sprintf(format, args...)) + "\r\n"
}

// bulkReply returns a reply of any bytes; nil is the protocol's null.
func bulkReply(text []byte) string {
	if text == nil {
		return "$-1\r\n"
	}
	return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
}

// singleLine replaces line ends, which would end a reply early.
func singleLine(text string) string { return strings.NewReplacer("\r", " ", "\n", " ").Replace(text) }
