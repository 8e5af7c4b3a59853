// Command fulmarfall runs the nodes of the query tier, and the commands for their operators and callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
	exitRefused  = 4
	exitConflict = 5
)

type commands struct {
	Node       nodeCommand       `cmd:"" help:"Run a node; it is a voter if its settings name a data folder."`
	Entry      entryCommand      `cmd:"" help:"Run an entry VM on the users' machines."`
	Control    controlCommand    `cmd:"" help:"Run a control VM on the users' machines."`
	Explain    explainCommand    `cmd:"" help:"Show from log files how one request was handled."`
	Check      checkCommand      `cmd:"" help:"Check a settings file and report every fault."`
	Keys       keysCommand       `cmd:"" help:"Make keys for a first installation."`
	Addresses  addressesCommand  `cmd:"" help:"Print the addresses that callers should use."`
	Search     searchCommand     `cmd:"" help:"Send a search as a calling team."`
	Execute    executeCommand    `cmd:"" help:"Send a non-idempotent request as a calling team."`
	Put        putCommand        `cmd:"" help:"Create or revise a record."`
	Get        getCommand        `cmd:"" help:"Show a record."`
	List       listCommand       `cmd:"" help:"List all records."`
	Withdraw   withdrawCommand   `cmd:"" help:"Withdraw a record; a tombstone stays."`
	Watch      watchCommand      `cmd:"" help:"Print the records each time one changes."`
	Status     statusCommand     `cmd:"" help:"Show nodes, voters and searchers, and what each node has in force."`
	Voter      voterCommand      `cmd:"" help:"Change the voter set."`
	Experiment experimentCommand `cmd:"" help:"Run an experiment of the model in virtual time."`
	Demo       demoCommand       `cmd:"" help:"Run the whole system in one process and verify its answers."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var c commands

	parser, err := kong.New(&c, kong.Name("fulmarfall"), kong.Description("A query tier over many shards."), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "fulmarfall:", err)

		return exitFailure
	}

	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fulmarfall:", err)

		return exitUsage
	}

	if _, ok := ctx.Selected().Target.Addr().Interface().(reloads); !ok {
		signal.Reset(syscall.SIGHUP)
	}

	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fulmarfall:", err)

		return exitCode(err)
	}

	return exitOK
}

type versionCommand struct{}

// Run prints the module and Go versions from the build information.
func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}

	fmt.Println("fulmarfall", version)

	return nil
}
