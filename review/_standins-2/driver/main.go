package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases holds the cases by name. Each returns what broke the rule; empty: it held.
var cases = map[string]func(rec *record, trouble bool) (broken string){
	"snapshot":  snapshotCase,
	"list":      listCase,
	"probation": probationCase,
	"rack":      rackCase,
}

// main runs "driver CASE FOLDER". It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run. With TROUBLE=0 it leaves out the disruption.
func main() {
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, started: time.Now()}
	defer func() {
		if cause := recover(); cause != nil {
			failed := couldNotRun{}
			if err, ok := cause.(couldNotRun); ok {
				failed = err
			} else {
				failed.err = errors.New(fmt.Sprint(cause))
			}
			rec.line("could not run: %v", failed.err)
			status = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	if broken := cases[os.Args[1]](rec, trouble); broken != "" {
		rec.line("BROKEN: %s", broken)
		return 1
	}
	rec.line("held")
	return 0
}
