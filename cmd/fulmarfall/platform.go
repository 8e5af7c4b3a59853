package main

import (
	"fmt"
	"os"
	"path/filepath"

	"fulmarfall/logs"
	"fulmarfall/platform"
)

type entryCommand struct{}

// Run serves callers until the process receives a stop signal.
func (entryCommand) Run() error { return platform.RunEntry() }

type controlCommand struct{}

// Run serves operators, searchers and address requests of callers until the process receives a stop signal.
func (controlCommand) Run() error { return platform.RunControl() }

// checkPlatform validates a settings file in the platform's format and reports all of its errors.
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

// Run prints the relevant log lines in chronological order.
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
