// Package top is a live view of a running dispatcher in the terminal: totals, rates,
// classes, groups, queues, sets and workers. The dispatcher does not import it, since only
// the tool needs its libraries.
package top

import (
	"fmt"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/metrics"

	tea "github.com/charmbracelet/bubbletea"
)

// Model is the view. It implements tea.Model.
type Model struct {
	source    Source
	interval  time.Duration
	current   Sample
	previous  Sample
	paused    bool
	height    int // of the terminal, in lines
	dimension int // of the table, in metrics.Dimensions
}

// defaultHeight is the height until the terminal reports its own.
const defaultHeight = 40

// New returns a view that reads the source once per interval.
func New(s Source, interval time.Duration) *Model {
	return &Model{source: s, interval: interval, height: defaultHeight}
}

// tick is the message that the next read is due.
type tick struct{}

// Init implements tea.Model.
func (m *Model) Init() tea.Cmd { return m.read }

func (m *Model) read() tea.Msg { return m.source.Read(time.Now()) }

// Update implements tea.Model.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		switch msg.String() {
		case "q", "ctrl+c", "esc":
			return m, tea.Quit
		case "p", " ":
			if m.paused = !m.paused; !m.paused {
				return m, m.read
			}
		case "tab":
			m.dimension = (m.dimension + 1) % len(metrics.Dimensions)
		}
	case tea.WindowSizeMsg:
		m.height = msg.Height
	case Sample:
		m.previous, m.current = m.current, msg
		if !m.paused {
			return m, tea.Tick(m.interval, func(time.Time) tea.Msg { return tick{} })
		}
	case tick:
		if !m.paused {
			return m, m.read
		}
	}
	return m, nil
}

// View implements tea.Model.
func (m *Model) View() string {
	if m.current.At.IsZero() {
		return "reading ...\n"
	}
	state := ""
	if m.paused {
		state = " (stopped)"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "basaltloft top  %s%s   q ends, p stops, tab changes the table\n", m.current.At.Format(time.TimeOnly), state)
	for _, problem := range m.current.Problems {
		fmt.Fprintf(&b, "! %s\n", problem)
	}
	if m.current.Figures != nil {
		m.metrics(&b)
	}
	if m.current.Faktory != nil {
		m.faktory(&b)
	}
	lines := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
	return strings.Join(lines[:min(len(lines), max(1, m.height-1))], "\n") + "\n"
}
