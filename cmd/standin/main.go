// Command standin runs the fake searchers of a user organisation for trials and tests. They announce themselves to
// the given nodes and answer from a data set that can be recomputed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"fulmarfall/demo"
)

type command struct {
	Organisation string   `help:"kilimanjaro or cluj." default:"kilimanjaro" enum:"kilimanjaro,cluj"`
	Nodes        []string `arg:"" help:"Addresses of entry VMs, host:port."`
}

func main() {
	var c command

	kong.Parse(&c, kong.Name("standin"), kong.Description("Fake searchers for trials and tests."))

	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func (c *command) run() error {
	org, err := demo.OrganisationNamed(c.Organisation)
	if err != nil {
		return err
	}

	searchers, stop, err := demo.StartSearchers(org, c.Nodes)
	if err != nil {
		return err
	}

	fmt.Printf("%d searchers started\n", len(searchers))

	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()

	<-ctx.Done()

	return stop()
}
