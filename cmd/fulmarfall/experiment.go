package main

import (
	"fmt"
	"os"

	"fulmarfall/model"
)

type experimentCommand struct {
	Size      string   `help:"kilimanjaro, cluj or two_years; see docs/experiments.md." default:"kilimanjaro"`
	Situation string   `help:"Situation to run, such as steady or shard_cold." default:"steady"`
	Version   string   `help:"product or naive." default:"product" enum:"product,naive"`
	Without   []string `help:"Mechanisms to switch off, such as hedging." sep:","`
	Seed      uint64   `help:"Seed of the run." default:"1"`
	Capacity  int      `help:"In-flight requests that each entry node admits; 0 means the default."`
	Load      float64  `help:"Factor on the request rates of the size." default:"1"`
	Fault     string   `help:"Runs entry VMs that send directly to searchers, some of which have this fault, instead of a situation: none, shedding, errors, slow, silent or down." enum:",none,shedding,errors,slow,silent,down" default:""`
}

// Run runs one experiment in virtual time and prints its report as JSON.
func (e *experimentCommand) Run() error {
	if e.Fault != "" {
		return printJSON(os.Stdout, model.RunDirect(model.DirectExperiment{Fault: model.Fault(e.Fault), Seed: e.Seed, PerSecond: e.Load * model.DirectPerSecond}))
	}

	x := model.Experiment{
		Size: model.Size(e.Size), Situation: model.Situation(e.Situation), Version: model.Version(e.Version),
		Seed: e.Seed, LoadFactor: e.Load, NodeCapacity: e.Capacity,
	}
	for _, m := range e.Without {
		x.Without = append(x.Without, model.Mechanism(m))
	}

	if err := x.Validate(); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}

	return printJSON(os.Stdout, model.Run(x))
}
