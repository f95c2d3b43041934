package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"yarrowbarrow/lab/fleet"
)

// soakCommand plays the randomized fault soak.
type soakCommand struct {
	Seeds   int           `name:"seeds" default:"50" help:"How many runs, each of a seed of its own."`
	From    int64         `name:"from" default:"1" help:"The first seed."`
	Beside  int           `name:"beside" default:"2" help:"Runs at the same time. More than the machine bears shows as late answers."`
	Length  time.Duration `name:"length" default:"6s" help:"How long the load of each lasts, 3s or more."`
	Hostile bool          `name:"hostile" default:"true" negatable:"" help:"Peers that flood, crowds and signals beside the other faults."`
	Program string        `name:"program" type:"existingfile" placeholder:"FILE" help:"Another build of the program to play."`
}

// Help is for the command line.
func (soakCommand) Help() string {
	return `Each run draws from its seed 10 to 40 processes, lists from a handful to thousands of engines, five to eleven faults on processes,
engines, links, lists and clients that overlap in time, and controllers that are told to end and killed at the protocol's
earliest. The verdict is the audit's, from the wire, and what the processes counted themselves.
  yarrowbarrow fleet soak --seeds 50 --from 1000`
}

// Run plays the seeds. It fails where a rule was broken.
func (c *soakCommand) Run(out *output) error {
	program := c.Program
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		program = own
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken := 0
	err := fleet.RunSoak(ctx, program, c.From, max(c.Seeds, 1), c.Beside, max(c.Length, 3*time.Second), c.Hostile, func(s fleet.Soaked) {
		o, r := s.Options, s.Result
		fmt.Fprintf(out, "seed %d: %d controllers of %d, %d engines, %d jobs, %.0f%% in time, %.1f%% of a core each, peak %.0f MB", s.Seed, o.Controllers,
			max(o.Settled, o.Controllers), o.Engines, r.Figures.Jobs, 100*r.Figures.InTime, 100*r.CPU, r.PeakMB)
		if !r.Audit.Broken() {
			fmt.Fprintln(out)
			return
		}
		broken++
		fmt.Fprintf(out, "\n  broken: %+v\n", r.Audit)
		for _, line := range s.Said {
			fmt.Fprintln(out, "  "+line)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d seeds, %d broke a rule\n", max(c.Seeds, 1), broken)
	if broken > 0 {
		return errFindings
	}
	return nil
}
