package main

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups receives SIGHUP from the initialisation of the program on. The operator may send it to a process that has just
// started, and its default action would end that process.
var hangups = notifyHangups()

func notifyHangups() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)

	return c
}

// reloads is implemented by commands that reload files at SIGHUP. It ends the others, whose terminal may be gone.
type reloads interface{ reloadsAtHangup() }

func (nodeCommand) reloadsAtHangup()    {}
func (entryCommand) reloadsAtHangup()   {}
func (controlCommand) reloadsAtHangup() {}
