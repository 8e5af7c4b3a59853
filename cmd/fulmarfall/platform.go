// This file runs the programs for the users' machines.

package main

import "fulmarfall/platform"

type entryCommand struct{}

// Run serves callers until the process is told to stop.
func (entryCommand) Run() error { return platform.RunEntry() }

type controlCommand struct{}

// Run serves operators, searchers and callers that ask for addresses until the process is told to stop.
func (controlCommand) Run() error { return platform.RunControl() }
