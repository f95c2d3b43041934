package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"yarrowbarrow/controller"
	"yarrowbarrow/lab/baseline"
	"yarrowbarrow/lab/fleet"
)

type fleetCommand struct {
	Controllers int           `default:"100" help:"Processes of this program, 1 to 400."`
	Engines     int           `default:"20" help:"Stand-in engines, 1 to 500."`
	Cores       int           `default:"4" help:"Of each engine; its jobs share them."`
	PerSecond   float64       `default:"8" help:"Jobs a second that a controller gets in the mean, of 76 ms core time each; some get several times as many."`
	Length      time.Duration `default:"15s" help:"How long the load lasts."`
	Seed        int64         `default:"1" help:"Of the load and of whom faults strike."`
	Policies    []string      `default:"own,random" help:"What decides, one run each: own, random, round-robin, least-outstanding, two-choices."`
	Faults      []string      `name:"fault" sep:";" placeholder:"FAULT" help:"What goes wrong, also several times: kill, term or stop of controllers, die, hang or slow of engines."`
	JSON        bool          `help:"Print the figures as JSON."`
}

func (fleetCommand) Help() string {
	return `Starts so many controllers as processes of their own between stand-in engines and a feed on loopback addresses, plays
uneven load, and tells how evenly the engines were used, by what engines and clients saw. A fault is given as
stop:0.3@5s/3s: what, the share of all it strikes, when, and for how long.

  yarrowbarrow fleet
  yarrowbarrow fleet --controllers 30 --engines 8 --fault 'kill:0.7@5s' --policies own,two-choices`
}

func (c *fleetCommand) Run(out *output) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	var faults []fleet.Fault
	for _, text := range c.Faults {
		f, err := fleet.ParseFault(text)
		if err != nil {
			return err
		}
		faults = append(faults, f)
	}
	for _, policy := range c.Policies {
		if _, err := baseline.New(policy); err != nil && policy != "own" {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results []fleet.Result
	for _, policy := range c.Policies {
		r, err := fleet.Run(ctx, fleet.Options{Program: program, Policy: strings.TrimPrefix(policy, "own"),
			Controllers: min(max(c.Controllers, 1), 400), Engines: min(max(c.Engines, 1), 500), Cores: c.Cores, PerSecond: c.PerSecond,
			Length: c.Length, Seed: c.Seed, Faults: faults, Say: func(format string, args ...any) {
				fmt.Fprintf(out.log, "%s: "+format+"\n", append([]any{policy}, args...)...)
			}})
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	if c.JSON {
		text := json.NewEncoder(out)
		text.SetIndent("", "  ")
		if err := text.Encode(results); err != nil {
			return err
		}
	} else {
		showFleet(out, results)
	}
	for _, r := range results {
		if r.Audit.Broken() {
			return errFindings
		}
	}
	return nil
}

// showFleet prints a row for each figure and a column for each run.
func showFleet(out *output, results []fleet.Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value func(fleet.Result) string) {
		fmt.Fprint(w, name, "\t")
		for _, r := range results {
			fmt.Fprint(w, value(r), "\t")
		}
		fmt.Fprintln(w)
	}
	figure := func(name, form string, of func(fleet.Result) float64) {
		row(name, func(r fleet.Result) string { return fmt.Sprintf(form, of(r)) })
	}
	row("", func(r fleet.Result) string { return r.Policy })
	if len(results) > 0 {
		for n, window := range results[0].Figures.Windows {
			figure(fmt.Sprintf("busiest engine over the mean, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[n].Busiest })
			figure(fmt.Sprintf("idlest, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[n].Idlest })
			figure(fmt.Sprintf("variation, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[n].Variance })
		}
	}
	figure("herd: variance over mean, 50ms", "%.2f", func(r fleet.Result) float64 { return r.Figures.Herd })
	figure("of the worst engine", "%.2f", func(r fleet.Result) float64 { return r.Figures.HerdMost })
	figure("surge, 50ms", "%.1f", func(r fleet.Result) float64 { return r.Figures.Surge })
	figure("idle while a job was held, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Idle })
	figure("core time used, %", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.Busy })
	figure("throttled, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Throttled })
	figure("throttled beside a free core, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Stranded })
	figure("in time, %, mean of controllers", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.InTime })
	figure("at the worst controller", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.Worst })
	figure("dispatches a job", "%.2f", func(r fleet.Result) float64 { return r.Figures.Dispatch })
	row("dials, most a second over the mean", func(r fleet.Result) string { return peak(r.Figures.Dials.Total, r.Figures.Dials.Most) })
	row("probes", func(r fleet.Result) string { return peak(r.Figures.Probes.Total, r.Figures.Probes.Most) })
	row("feed calls", func(r fleet.Result) string { return peak(r.Figures.FeedCalls.Total, r.Figures.FeedCalls.Most) })
	figure("processor, % of a core", "%.1f", func(r fleet.Result) float64 { return 100 * r.CPU })
	figure("memory, MB", "%.1f", func(r fleet.Result) float64 { return r.Memory })
	row("jobs", func(r fleet.Result) string { return fmt.Sprint(r.Figures.Jobs) })
	row("lost, twice, at once, crashed", func(r fleet.Result) string {
		return fmt.Sprintf("%d, %d, %d, %d", r.Audit.Lost, r.Audit.Doubled, r.Audit.Together, r.Audit.Crashes)
	})
	_ = w.Flush()
}

func peak(total int, most float64) string { return fmt.Sprintf("%d, %.1f", total, most) }

// baselineCommand is what the fleet starts to measure against.
type baselineCommand struct {
	Policy string `arg:"" help:"random, round-robin, least-outstanding or two-choices."`
}

func (b *baselineCommand) Run(log *slog.Logger) error {
	module, err := baseline.New(b.Policy)
	if err != nil {
		return err
	}
	serve := serveCommand{change: func(c *controller.Controller) { c.Decide(module) }}
	return serve.Run(log)
}
