// Command soak runs entry VMs and control VMs as separate processes under injected faults; see package soak.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"fulmarfall/platform/soak"
)

type options struct {
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    int           `help:"Number of seeds." default:"1"`
	Failed   bool          `help:"Run the seeds that ever failed instead."`
	Faulty   time.Duration `help:"Time of faults in each run." default:"20s"`
	EntryVMs int           `help:"Number of entry VMs." name:"entry-vms" default:"4"`
	Callers  int           `help:"Number of callers." default:"8"`
	Program  string        `help:"The fulmarfall program; built if empty."`
	Other    string        `help:"Another build of it, with which all processes start; each restart changes the build." name:"other-program"`
	Keep     string        `help:"Folder for settings and logs; a temporary one if empty."`
}

func main() {
	var o options

	kong.Parse(&o, kong.Name("soak"), kong.Description("Run the programs as separate processes under injected faults."))

	violated, err := run(context.Background(), &o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}

	if violated {
		os.Exit(1)
	}
}

// list returns the seeds to run.
func (o *options) list() (seeds []uint64) {
	if o.Failed {
		for _, f := range soak.FailedSeeds {
			seeds = append(seeds, f.Seed)
		}

		return seeds
	}

	for i := range o.Seeds {
		seeds = append(seeds, o.Seed+uint64(i)) //nolint:gosec // Not negative.
	}

	return seeds
}

func run(ctx context.Context, o *options) (violated bool, err error) {
	folder := o.Keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return false, fmt.Errorf("make folder: %w", err)
		}
	}

	program := o.Program
	if program == "" {
		program = filepath.Join(folder, "fulmarfall")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "fulmarfall/cmd/fulmarfall").CombinedOutput(); err != nil { //nolint:gosec // The path is the command's own flag.
			return false, fmt.Errorf("build fulmarfall: %w\n%s", err, out)
		}
	}

	for _, seed := range o.list() {
		dir := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			return violated, fmt.Errorf("make folder: %w", err)
		}

		rep, err := soak.Run(ctx, soak.Config{
			Program: program, OtherProgram: o.Other, Folder: dir, Seed: seed, FaultDuration: o.Faulty, EntryVMs: o.EntryVMs, Callers: o.Callers,
		})
		if err != nil {
			return violated, fmt.Errorf("seed %d: %w (logs in %s)", seed, err, dir)
		}

		fmt.Println(rep)

		if len(rep.Violations) > 0 {
			fmt.Println("  logs:", dir)

			violated = true
		}
	}

	return violated, nil
}
