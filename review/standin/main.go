// Command standin plays the cases of the review: it starts the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins for the platform, searchers, clients and the operator, and checks one rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// maxDuration bounds a case, including the time to end its processes.
const maxDuration = 110 * time.Second

// errBroken is wrapped by the errors of cases that saw the rule broken.
var errBroken = errors.New("rule broken")

func cases() map[string]func(context.Context, *world, bool) error {
	return map[string]func(context.Context, *world, bool) error{
		"forward": forwardCase,
		"body":    bodyCase,
		"drain":   drainCase,
		"homes":   homesCase,
		"cold":    coldCase,
		"popular": popularCase,
		"crash":   crashCase,
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}

	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns its exit code.
func run(name, folder string) int {
	play, ok := cases()[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q is not known\n", name)

		return exitFailed
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()

	rec, closeRecord, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}
	defer closeRecord()

	w, err := newWorld(ctx, rec)
	if err != nil {
		rec.add("the case could not run: %v", err)

		return exitFailed
	}
	defer w.stop()

	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", name, trouble)

	err = play(ctx, w, trouble)

	switch {
	case errors.Is(err, errBroken):
		rec.add("%v", err)

		return exitBroken
	case err != nil:
		rec.add("the case could not run: %v", err)

		return exitFailed
	default:
		rec.add("the rule held")

		return exitHeld
	}
}
