// Command standin-2 runs the cases of the second review. Each starts control VMs and entry VMs as separate processes on
// loopback addresses, beside stand-ins of searchers, an operator and callers. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. Each returns the violations of its rule.
var scenarios = map[string]func(*world) ([]string, error){
	"evacuation": runEvacuation,
	"duplicate":  runDuplicate,
	"memory":     runMemory,
	"rebirth":    runRebirth,
}

func main() { os.Exit(run()) }

func run() int {
	var (
		program = flag.String("program", "target/fulmarfall", "the program under test")
		folder  = flag.String("folder", "", "an empty folder for settings, logs and disks")
		output  = flag.String("record", "record.txt", "the file for what was sent, answered and run")
		trouble = flag.Bool("trouble", true, "whether the disruption takes place")
	)

	flag.Parse()

	scenario := scenarios[flag.Arg(0)]
	if scenario == nil || *folder == "" {
		fmt.Fprintln(os.Stderr, "usage: standin-2 --folder FOLDER [options] evacuation|duplicate|memory|rebirth")

		return exitNotRun
	}

	rec, closeRecord, err := newRecord(*output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}
	defer closeRecord()

	w := newWorld(*program, *folder, *trouble, rec)
	defer w.stop()

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)

	go func() {
		<-signals
		w.stop()
		os.Exit(exitNotRun)
	}()

	violations, err := scenario(w)

	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)

		return exitNotRun
	case len(violations) > 0:
		for _, v := range violations {
			rec.add("BROKEN %s", v)
			fmt.Println("BROKEN", v)
		}

		return exitBroken
	default:
		rec.add("the rule held")
		fmt.Println("the rule held")

		return exitHeld
	}
}
