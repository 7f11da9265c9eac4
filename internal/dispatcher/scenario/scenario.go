// Package scenario interprets a small script language for tests of protocols, and starts the program for
// these tests. Each line of a script is a step:
//
//	actor send TEXT       writes TEXT, in which \r and \n stand for the control characters
//	actor expect PATTERN  reads until a regular expression matches
//	actor close           closes the actor's connection
//	actor wait            reads until the other side has closed its end
//
// The first step of an actor opens its connection: the part of its name before a dot names the peer, the
// rest distinguishes several connections to one peer. $name is replaced by the text that a group
// (?P<name>...) of an earlier pattern matched, and @name(a,b) by the result of a function of the test. If the
// group (?P<again>...) of a pattern matches, the answer is not final: the actor sends its last text again and
// then expects the same pattern once more. Steps wait for events and never for a fixed time; a step fails
// after a timeout.
package scenario

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stepTimeout is the time after which a step has failed.
const stepTimeout = 20 * time.Second

// Conn is an actor's end of a connection, or of something that is used like one.
type Conn interface {
	io.ReadWriteCloser
	SetReadDeadline(time.Time) error
}

// waiter is implemented by a Conn that is a process. Closing such a Conn only requests the process's end.
type waiter interface{ Wait() error }

// Peers are the peers of a script by name, each with the function that opens a connection.
type Peers map[string]func() (Conn, error)

// Functions are the functions that a script may call, by name.
type Functions map[string]func(args ...string) string

// actor is an open connection of a script.
type actor struct {
	conn   Conn
	unread []byte // read, and not yet matched
	sent   []byte // the text of its last send
}

// again is the name of the group of a pattern that makes the actor send its last text again.
const again = "again"

// interpreter runs a script.
type interpreter struct {
	peers     Peers
	functions Functions
	actors    map[string]*actor
	variables map[string]string // texts that named groups of patterns matched
}

// RunScript runs a script and fails the test at the first step that fails.
func RunScript(t testing.TB, peers Peers, functions Functions, script string) {
	t.Helper()
	p := &interpreter{peers: peers, functions: functions, actors: make(map[string]*actor), variables: make(map[string]string)}
	defer func() {
		for _, a := range p.actors {
			_ = a.conn.Close() // the test is over
		}
	}()
	for n, line := range strings.Split(script, "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			require.NoError(t, p.step(line), "line %d: %s", n+1, line)
		}
	}
}

// step runs one line of a script.
func (p *interpreter) step(line string) error {
	name, rest, _ := strings.Cut(line, " ")
	verb, text, _ := strings.Cut(strings.TrimSpace(rest), " ")
	a, err := p.actor(name)
	if err != nil {
		return err
	}
	text = strings.TrimSpace(text)
	switch verb {
	case "send":
		a.sent = []byte(strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(p.expand(text, func(s string) string { return s })))
		_, err = a.conn.Write(a.sent)
	case "expect":
		err = p.expect(a, p.expand(text, regexp.QuoteMeta))
	case "close":
		err = a.conn.Close()
		if _, ok := a.conn.(waiter); !ok {
			delete(p.actors, name)
		}
	case "wait":
		err = a.wait()
	default:
		err = fmt.Errorf("unknown verb %q", verb)
	}
	return err
}

// actor returns the actor of that name. It opens the connection of a new one.
func (p *interpreter) actor(name string) (*actor, error) {
	if a := p.actors[name]; a != nil {
		return a, nil
	}
	peer, _, _ := strings.Cut(name, ".")
	open := p.peers[peer]
	if open == nil {
		return nil, fmt.Errorf("no peer is called %q", peer)
	}
	conn, err := open()
	if err != nil {
		return nil, fmt.Errorf("opening %s: %w", name, err)
	}
	a := &actor{conn: conn}
	p.actors[name] = a
	return a, nil
}

var (
	functionCall = regexp.MustCompile(`@(\w+)\(([^()]*)\)`)
	variable     = regexp.MustCompile(`\$(\w+)`)
)

// expand replaces variables, and then function calls from the innermost outwards, by their values, quoted
// by quote. Unknown names are left as they are: in a pattern, a dollar sign may be an anchor.
func (p *interpreter) expand(text string, quote func(string) string) string {
	text = variable.ReplaceAllStringFunc(text, func(match string) string {
		if value, ok := p.variables[match[1:]]; ok {
			return quote(value)
		}
		return match
	})
	for {
		next := functionCall.ReplaceAllStringFunc(text, func(match string) string {
			groups := functionCall.FindStringSubmatch(match)
			if function := p.functions[groups[1]]; function != nil {
				return quote(function(strings.Split(groups[2], ",")...))
			}
			return match
		})
		if next == text {
			return text
		}
		text = next
	}
}

// expect reads until a pattern matches, and sets the variables of its groups. Each time the group "again"
// matches, it sends the last text again and continues.
func (p *interpreter) expect(a *actor, pattern string) error {
	re, err := regexp.Compile("(?s)" + pattern)
	if err != nil {
		return err
	}
	a.startTimeout()
	buffer := make([]byte, 64<<10)
	for {
		if m := re.FindSubmatchIndex(a.unread); m != nil {
			resend := p.capture(re, m, a.unread)
			a.unread = a.unread[m[1]:]
			if !resend {
				return nil
			}
			if _, err := a.conn.Write(a.sent); err != nil {
				return err
			}
			continue
		}
		n, err := a.conn.Read(buffer)
		a.unread = append(a.unread, buffer[:n]...)
		if err != nil && n == 0 {
			return fmt.Errorf("%w after %q", err, a.unread)
		}
	}
}

// capture sets the variables of the named groups of a match, and reports whether the group "again" matched.
func (p *interpreter) capture(re *regexp.Regexp, match []int, text []byte) (resend bool) {
	for i, name := range re.SubexpNames() {
		begin, end := match[2*i], match[2*i+1]
		switch {
		case name == "" || begin < 0:
		case name == again:
			resend = true
		default:
			p.variables[name] = string(text[begin:end])
		}
	}
	return resend
}

// startTimeout sets the deadline for the reads of a step. Setting it fails only if the connection is closed,
// which the next read reports.
func (a *actor) startTimeout() { _ = a.conn.SetReadDeadline(time.Now().Add(stepTimeout)) }

// wait reads until the other side has closed its end. For a process it also waits for the exit, and fails
// unless the exit status is 0.
func (a *actor) wait() error {
	a.startTimeout()
	rest, err := io.ReadAll(a.conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("still open after %q", rest)
	}
	if process, ok := a.conn.(waiter); ok {
		if err := process.Wait(); err != nil {
			return fmt.Errorf("%w after %s", err, rest)
		}
	}
	return nil
}
