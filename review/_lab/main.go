package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// lab is what a scenario has.
type lab struct {
	*deployment
	world   *world
	trouble bool
}

// scenario returns what broke the rule; empty: it held. An error means that the case couldn't run.
type scenario func(l *lab) (broken string, err error)

var scenarios = map[string]scenario{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab SCENARIO ROOT RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	loopback := fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), 1+rand.IntN(250))
	w := newWorld(r)
	list, err := w.serveList(loopback + ".2")
	if err != nil {
		return notRun(r, err)
	}
	d, err := newDeployment(r, os.Args[2], list, loopback)
	if err != nil {
		return notRun(r, err)
	}
	defer d.close()
	l := &lab{deployment: d, world: w, trouble: os.Getenv("TROUBLE") != "0"}
	type result struct {
		broken string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](l)
		results <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
		return notRun(r, errors.New("stopped from outside"))
	case got := <-results:
		switch {
		case got.err != nil:
			return notRun(r, got.err)
		case got.broken != "":
			r.add("BROKEN: %s", got.broken)
			fmt.Println("broken:", got.broken)
			return exitBroken
		}
		r.add("HELD")
		fmt.Println("held")
		return exitHeld
	case <-time.After(115 * time.Second):
		return notRun(r, errors.New("not finished in time"))
	}
}

func notRun(r *record, err error) int {
	r.add("NOT RUN: %v", err)
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}
