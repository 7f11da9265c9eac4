// Command basaltloft-plot draws charts of the counts in a journal. `basaltloft figures
// plot` starts it; it is a program of its own because of the size of its libraries.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/plots"
)

func main() {
	folder := flag.String("folder", "", "the journal's folder")
	from := flag.String("from", "", "time from which jobs count, in RFC 3339 or a date")
	to := flag.String("to", "", "time before which jobs count")
	out := flag.String("out", "figures.svg", "file to write, .svg or .png")
	flag.Parse()
	if err := run(*folder, *from, *to, *out); err != nil {
		fmt.Fprintln(os.Stderr, "basaltloft-plot:", err)
		os.Exit(1)
	}
}

func run(folder, from, to, out string) error {
	var q journal.Query
	for text, into := range map[*string]*time.Time{&from: &q.From, &to: &q.To} {
		if *text == "" {
			continue
		}
		t, err := journal.ParseTime(*text)
		if err != nil {
			return err
		}
		*into = t
	}
	f, err := journal.ReadDirectory(folder)
	if err != nil {
		return err
	}
	names, err := plots.Draw(f, q, out)
	for _, name := range names {
		fmt.Println(name)
	}
	return err
}
