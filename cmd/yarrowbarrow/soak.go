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

// soakCommand runs the soak test: fleets of random size under random overlapping faults, one run for each seed.
type soakCommand struct {
	Seeds     int           `name:"seeds" default:"50" help:"Number of runs, each with its own seed."`
	FirstSeed int64         `name:"from" default:"1" help:"First seed."`
	Parallel  int           `name:"beside" default:"2" help:"Number of runs at the same time. If the machine is overloaded, answers are reported as late."`
	Duration  time.Duration `name:"length" default:"6s" help:"Duration of the load of each run, at least 3s."`
	Hostile   bool          `name:"hostile" default:"true" negatable:"" help:"In addition to the other faults, inject flooding peers, crowds of idle clients and signals."`
	Program   string        `name:"program" type:"existingfile" placeholder:"FILE" help:"Another build of the program to run instead of this one."`
}

func (soakCommand) Help() string {
	return `From its seed, each run draws 10 to 40 processes, engine lists from a handful to thousands of entries, five to eleven
overlapping faults on processes, engines, links, lists and clients, and controllers that get SIGTERM and are killed as soon
as the protocol allows. Violations are found by an audit of the network traffic and by the processes' own counters.
  yarrowbarrow fleet soak --seeds 50 --from 1000`
}

// Run runs all seeds and prints a line for each. It returns errFindings if any run violated a rule.
func (c *soakCommand) Run(out *output) error {
	program := c.Program
	if program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		program = executable
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failedSeeds := 0
	err := fleet.RunSoak(ctx, program, c.FirstSeed, max(c.Seeds, 1), c.Parallel, max(c.Duration, 3*time.Second), c.Hostile, func(soaked fleet.SoakResult) {
		options, result := soaked.Options, soaked.Result
		fmt.Fprintf(out, "seed %d: %d controllers of %d, %d engines, %d jobs, %.0f%% in time, %.1f%% of a core each, peak %.0f MB", soaked.Seed, options.Controllers,
			max(options.ConfiguredControllers, options.Controllers), options.Engines, result.Figures.Jobs, 100*result.Figures.InTime, 100*result.CPU, result.PeakMB)
		if !result.Audit.Broken() {
			fmt.Fprintln(out)
			return
		}
		failedSeeds++
		fmt.Fprintf(out, "\n  broken: %+v\n", result.Audit)
		for _, line := range soaked.LogLines {
			fmt.Fprintln(out, "  "+line)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d seeds, %d broke a rule\n", max(c.Seeds, 1), failedSeeds)
	if failedSeeds > 0 {
		return errFindings
	}
	return nil
}
