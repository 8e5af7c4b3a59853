package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

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

// errUnreadable marks files that can't be read, errInvalid documents with errors. Each has its exit code.
var (
	errUnreadable = errors.New("file can't be read")
	errInvalid    = errors.New("document has errors")
)

// checkConfiguration prints the errors of a configuration document, warnings, and its differences from the one in force, if that is
// named.
func checkConfiguration(w io.Writer, name, inForceName string) error {
	content, err := os.ReadFile(name) //nolint:gosec // Named on the command line.
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}

	var inForce []byte

	if inForceName != "" {
		if inForce, err = os.ReadFile(inForceName); err != nil { //nolint:gosec // Named on the command line.
			return fmt.Errorf("%w: %w", errUnreadable, err)
		}
	}

	found, differences, err := platform.CheckConfiguration(content, inForce)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errUnreadable, inForceName, err)
	}

	var (
		text    strings.Builder
		invalid int
	)

	for _, f := range found {
		kind := "warning"
		if f.Error {
			kind = "error"
			invalid++
		}

		text.WriteString(kind + ": " + f.Text + "\n")
	}

	for _, d := range differences {
		text.WriteString("change: " + d + "\n")
	}

	if _, err := io.WriteString(w, text.String()); err != nil {
		return fmt.Errorf("print findings: %w", err)
	}

	if invalid > 0 {
		return fmt.Errorf("%s: %w: %d", name, errInvalid, invalid)
	}

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
