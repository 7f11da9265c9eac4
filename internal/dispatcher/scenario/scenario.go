// Package scenario is the small language that this project's tests are
// written in. A scenario has a step a line:
//
//	actor send TEXT       writes TEXT, in which \r and \n stand for themselves
//	actor expect PATTERN  reads until a regular expression matches
//	actor close           closes the actor's end
//	actor wait            reads until the other side has closed its end
//
// An actor is opened by its first step: the part of its name before a dot
// names the peer, what follows tells several of one peer apart. $name stands
// for what a group (?P<name>...) of an earlier pattern matched, and
// @name(a,b) for what a function of the test returns. A pattern whose group
// (?P<again>...) has matched an answer that leaves the matter open: the actor
// sends its last text again and expects the pattern anew. Steps wait for events,
// never for time, but for the limit after which a test has failed.
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

const limit = 20 * time.Second

// Conn is an actor's end of a connection, or the like.
type Conn interface {
	io.ReadWriteCloser
	SetReadDeadline(time.Time) error
}

// Peers is who may act: each peer with the way to open an end at it.
type Peers map[string]func() (Conn, error)

// Functions are the functions that a scenario may call.
type Functions map[string]func(args ...string) string

type actor struct {
	end    Conn
	unread []byte
	sent   []byte // the text of its last send
}

// again is the group of a pattern by which an answer has the last text sent again.
const again = "again"

type player struct {
	cast   Peers
	words  Functions
	actors map[string]*actor
	known  map[string]string
}

// RunScript runs a scenario and fails the test at the first step that fails.
func RunScript(t testing.TB, cast Peers, words Functions, text string) {
	t.Helper()
	p := &player{cast: cast, words: words, actors: make(map[string]*actor), known: make(map[string]string)}
	defer func() {
		for _, a := range p.actors {
			a.end.Close()
		}
	}()
	for n, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			require.NoError(t, p.step(line), "line %d: %s", n+1, line)
		}
	}
}

func (p *player) step(line string) error {
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
		_, err = a.end.Write(a.sent)
	case "expect":
		err = p.expect(a, p.expand(text, regexp.QuoteMeta))
	case "close":
		err = a.end.Close()
		if _, process := a.end.(interface{ Wait() error }); !process {
			delete(p.actors, name)
		}
	case "wait":
		err = a.wait()
	default:
		err = fmt.Errorf("unknown verb %q", verb)
	}
	return err
}

func (p *player) actor(name string) (*actor, error) {
	if a := p.actors[name]; a != nil {
		return a, nil
	}
	peer, _, _ := strings.Cut(name, ".")
	open := p.cast[peer]
	if open == nil {
		return nil, fmt.Errorf("no peer is called %q", peer)
	}
	end, err := open()
	if err != nil {
		return nil, fmt.Errorf("opening %s: %w", name, err)
	}
	a := &actor{end: end}
	p.actors[name] = a
	return a, nil
}

var (
	calls = regexp.MustCompile(`@(\w+)\(([^()]*)\)`)
	names = regexp.MustCompile(`\$(\w+)`)
)

// expand puts in what stands for something else, names first, then calls from
// the inside out. What is not known stays: in a pattern, a dollar may be an
// anchor.
func (p *player) expand(text string, quote func(string) string) string {
	text = names.ReplaceAllStringFunc(text, func(mark string) string {
		if v, ok := p.known[mark[1:]]; ok {
			return quote(v)
		}
		return mark
	})
	for {
		next := calls.ReplaceAllStringFunc(text, func(mark string) string {
			m := calls.FindStringSubmatch(mark)
			if word := p.words[m[1]]; word != nil {
				return quote(word(strings.Split(m[2], ",")...))
			}
			return mark
		})
		if next == text {
			return text
		}
		text = next
	}
}

func (p *player) expect(a *actor, pattern string) error {
	re, err := regexp.Compile("(?s)" + pattern)
	if err != nil {
		return err
	}
	a.end.SetReadDeadline(time.Now().Add(limit))
	part := make([]byte, 64<<10)
	for {
		if m := re.FindSubmatchIndex(a.unread); m != nil {
			open := false
			for i, name := range re.SubexpNames() {
				switch {
				case name == "" || m[2*i] < 0:
				case name == again:
					open = true
				default:
					p.known[name] = string(a.unread[m[2*i]:m[2*i+1]])
				}
			}
			a.unread = a.unread[m[1]:]
			if !open {
				return nil
			}
			if _, err := a.end.Write(a.sent); err != nil {
				return err
			}
			continue
		}
		n, err := a.end.Read(part)
		a.unread = append(a.unread, part[:n]...)
		if err != nil && n == 0 {
			return fmt.Errorf("%w after %q", err, a.unread)
		}
	}
}

// wait reads until the other side ends. Of a process it also takes the exit.
func (a *actor) wait() error {
	a.end.SetReadDeadline(time.Now().Add(limit))
	rest, err := io.ReadAll(a.end)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("still open after %q", rest)
	}
	if process, ok := a.end.(interface{ Wait() error }); ok {
		if err := process.Wait(); err != nil {
			return fmt.Errorf("%w after %s", err, rest)
		}
	}
	return nil
}
