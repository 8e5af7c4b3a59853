package main

import (
	"context"
	"os"
	"time"

	"fulmarfall/demo"
)

type demoCommand struct {
	Organisation string        `help:"kilimanjaro or cluj." default:"kilimanjaro" enum:"kilimanjaro,cluj"`
	Searches     int           `help:"Searches per upstream." default:"20"`
	Timeout      time.Duration `help:"Time limit." default:"2m"`
}

// Run fails unless every answer of the demonstration matches its recomputation.
func (d *demoCommand) Run() error {
	org, err := demo.OrganisationNamed(d.Organisation)
	if err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	defer cancel()

	return demo.Run(ctx, os.Stdout, demo.Options{Organisation: org, Searches: d.Searches})
}
