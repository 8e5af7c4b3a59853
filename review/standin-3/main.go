// Command standin-3 plays the cases of the third review. It starts the programs of the project as separate processes on loopback
// addresses, with stand-ins for clients, searchers, the operator and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestPlay is the time after which a case is given up.
const longestPlay = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to the function that plays it. The function returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"departed":   playDeparted,
	"cold-core":  playColdCore,
	"cold-cut":   playColdCut,
	"cold-start": playColdStart,
	"hidden":     playHidden,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitFailed)
	}

	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)

		return exitFailed
	}

	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}
	defer w.close()

	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

		select {
		case <-signals:
		case <-time.After(longestPlay):
		}

		w.note("the case was given up")
		w.close()
		os.Exit(exitFailed)
	}()

	broken, err := run(w)

	switch {
	case err != nil:
		w.note("the case could not run: %v", err)

		return exitFailed
	case broken:
		w.note("RULE BROKEN")

		return exitBroken
	default:
		w.note("rule held")

		return exitHeld
	}
}
