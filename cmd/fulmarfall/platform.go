// This file runs the programs for the users' machines.

package main

import (
	"fmt"
	"os"
	"path/filepath"

	"fulmarfall/logs"
	"fulmarfall/platform"
)

type entryCommand struct{}

// Run serves callers until the process is told to stop.
func (entryCommand) Run() error { return platform.RunEntry() }

type controlCommand struct{}

// Run serves operators, searchers and callers that ask for addresses until the process is told to stop.
func (controlCommand) Run() error { return platform.RunControl() }

// checkPlatform reports every fault of a settings file of the platform.
func checkPlatform(name string) error {
	s, err := platform.LoadSettings(name)
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}

	fmt.Printf("%s: no faults; failure domain %s, %d seeds\n", name, s.FailureDomain, len(s.Seeds))

	return nil
}

type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" help:"Log files of the processes."`
}

// Run prints the lines that tell of the request, in the order of time.
func (c *explainCommand) Run() error {
	var sources []logs.Source

	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = f.Close() }() // read only

		sources = append(sources, logs.Source{Name: filepath.Base(name), R: f})
	}

	lines, err := logs.Explain(c.Request, sources)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}

	for _, l := range lines {
		fmt.Printf("%s %s %s\n", l.At.Format("15:04:05.000"), l.Source, l.Text)
	}

	return nil
}
