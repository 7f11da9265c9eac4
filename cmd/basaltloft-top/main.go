// Command basaltloft-top is a live view of a running dispatcher. `basaltloft
// top` starts it; it is a program of its own because of the size of its libraries.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/top"

	tea "github.com/charmbracelet/bubbletea"
)

func main() {
	figures := flag.String("figures", "127.0.0.1:7421", "address that figures.listen names; empty: not read")
	faktory := flag.String("faktory", "", "address that faktory.listen names; empty: not read")
	passwordFile := flag.String("password-file", "", "file with the Faktory password")
	every := flag.Duration("every", time.Second, "how often it is read")
	once := flag.Bool("once", false, "read once, and write that to standard output")
	flag.Parse()
	if err := run(top.Source{MetricsAddr: *figures, FaktoryAddr: *faktory}, *passwordFile, *every, *once); err != nil {
		fmt.Fprintln(os.Stderr, "basaltloft-top:", err)
		os.Exit(1)
	}
}

func run(s top.Source, passwordFile string, every time.Duration, once bool) error {
	if passwordFile != "" {
		text, err := os.ReadFile(passwordFile)
		if err != nil {
			return err
		}
		s.Password = strings.TrimSpace(string(text))
	}
	m := top.New(s, every)
	if once {
		m.Update(s.Read(time.Now()))
		fmt.Print(m.View())
		return nil
	}
	_, err := tea.NewProgram(m, tea.WithAltScreen()).Run()
	return err
}
