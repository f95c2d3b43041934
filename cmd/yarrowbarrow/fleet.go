package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"yarrowbarrow/controller"
	"yarrowbarrow/lab/baseline"
	"yarrowbarrow/lab/fleet"
	"yarrowbarrow/lab/fleet/report"
)

// fleetCommands are the commands that run load tests of many controller processes against stand-in engines.
type fleetCommands struct {
	Play    playCommand    `name:"play" cmd:"" default:"withargs" help:"Play a fleet (also without a word)."`
	Compare compareCommand `name:"compare" cmd:"" help:"Play two policies or builds in pairs on the same seeds, and tell the difference with its interval."`
	Days    daysCommand    `name:"days" cmd:"" help:"Play days on which operators have seen things go wrong, and show one line for each."`
	Soak    soakCommand    `name:"soak" cmd:"" help:"Play runs with faults that overlap, drawn from seeds, and show which broke a rule."`
	Talk    talkCommand    `name:"talk" cmd:"" help:"Play instances that know one another: how soon a loss is known, how old words are, what it costs."`
	Faults  faultsCommand  `name:"faults" cmd:"" help:"List what may go wrong."`
}

// fleetFlags set the size of a test fleet, its load and the faults to inject.
type fleetFlags struct {
	Controllers    int           `name:"controllers" default:"100" help:"Number of controller processes, 1 to 400."`
	Engines        int           `name:"engines" default:"20" help:"Number of stand-in engines, 1 to 500."`
	CoresPerEngine int           `name:"cores" default:"4" help:"Cores of each engine; its jobs share them."`
	UnevenEngines  bool          `name:"uneven" help:"Give every third engine twice the cores."`
	PerSecond      float64       `name:"per-second" default:"8" help:"Mean jobs per second and controller, of 76 ms core time each; some controllers get several times as many."`
	Rooms          int           `name:"rooms" default:"1" help:"Number of rooms, which controllers and engines are assigned to in turn; link faults cut rooms off."`
	AllJobKinds    bool          `name:"ruled" help:"Send all kinds of jobs that rules apply to: non-idempotent, keyed, bound to a room."`
	Duration       time.Duration `name:"length" default:"15s" help:"Duration of the load."`
	Seed           int64         `name:"seed" default:"1" help:"Seed of the random load and of the choice of fault targets."`
	Faults         []string      `name:"fault" sep:";" placeholder:"FAULT" help:"Fault to inject, such as stop:0.3@5s/3s; may be repeated. The command fleet faults lists the kinds."`
	FaultScript    string        `name:"script" type:"existingfile" placeholder:"FILE" help:"File with one fault per line; # begins a comment."`
	RandomFaults   int           `name:"chaos" placeholder:"N" help:"Number of random faults, drawn from the seed, in addition to the others."`
}

// options converts the flags to options of a run. Counts that are out of range are clamped.
func (c *fleetFlags) options() (options fleet.Options, err error) {
	options = fleet.Options{Controllers: min(max(c.Controllers, 1), 400), Engines: min(max(c.Engines, 1), 500), Cores: c.CoresPerEngine, MixedCores: c.UnevenEngines,
		Rooms: c.Rooms, ConstrainedJobs: c.AllJobKinds, JobsPerSecond: c.PerSecond, Duration: c.Duration, Seed: c.Seed}
	for _, text := range c.Faults {
		fault, err := fleet.ParseFault(text)
		if err != nil {
			return options, err
		}
		options.Faults = append(options.Faults, fault)
	}
	if c.FaultScript != "" {
		file, err := os.Open(c.FaultScript)
		if err != nil {
			return options, err
		}
		defer file.Close()
		scripted, err := fleet.ReadScript(file)
		if err != nil {
			return options, fmt.Errorf("%s: %w", c.FaultScript, err)
		}
		options.Faults = append(options.Faults, scripted...)
	}
	options.Faults = append(options.Faults, fleet.DrawFaults(c.Seed, c.RandomFaults, c.Duration)...)
	return options, nil
}

// contender is a policy in a given build of the program, as one side of a comparison. spec is its form on the command line, POLICY or
// POLICY@PROGRAM; program is the path of the executable. policy is empty for the program's own decision module.
type contender struct{ spec, policy, program string }

// parseContender reads POLICY, which means this program, or POLICY@PROGRAM, which means another build of it.
func parseContender(spec string) (contender, error) {
	policy, program, hasProgram := strings.Cut(spec, "@")
	if !hasProgram {
		executable, err := os.Executable()
		if err != nil {
			return contender{}, err
		}
		program = executable
	} else if _, err := os.Stat(program); err != nil {
		return contender{}, fmt.Errorf("%s: %w", spec, err)
	}
	if policy == "own" {
		return contender{spec, "", program}, nil
	}
	_, err := baseline.New(policy)
	return contender{spec, policy, program}, err
}

// run runs the fleet once with this policy and build. Messages of the run go to log.
func (c contender) run(ctx context.Context, options fleet.Options, log io.Writer) (fleet.Result, error) {
	options.Program, options.Policy = c.program, c.policy
	options.Logf = func(format string, args ...any) {
		fmt.Fprintf(log, "%s, seed %d: "+format+"\n", append([]any{c.spec, options.Seed}, args...)...)
	}
	result, err := fleet.Run(ctx, options)
	result.Policy = c.spec
	return result, err
}

// brokeRules reports whether a run violated a rule that its policy has to keep. Baseline policies are not designed to keep all
// rules, so for them only crashes count.
func brokeRules(result fleet.Result) bool {
	if strings.HasPrefix(result.Policy, "own") {
		return result.Audit.Broken()
	}
	return result.Audit.Crashes > 0
}

// playCommand runs a fleet once for each policy.
type playCommand struct {
	fleetFlags
	Policies []string `name:"policies" default:"own,random" help:"Policies, one run each: own, random, round-robin, least-outstanding, two-choices; own@PATH for another build."`
	JSON     bool     `name:"json" help:"Print the figures as JSON."`
	HTML     string   `name:"html" type:"path" placeholder:"FILE" help:"Also write a page with plots."`
}

func (playCommand) Help() string {
	return `Starts each controller as a separate process, with stand-in engines and discovery services on loopback addresses, sends uneven
load and reports how evenly the engines were used, as observed by engines and clients. A fault is written as
stop:0.3@5s/3s: its kind, the share of targets that it affects, its start and its duration.
  yarrowbarrow fleet
  yarrowbarrow fleet --controllers 30 --engines 8 --fault 'kill:0.7@5s' --policies own,two-choices
  yarrowbarrow fleet --rooms 2 --fault 'cut:0.5@5s/6s' --html cut.html`
}

func (c *playCommand) Run(out *output) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	options.RecordTimeline = c.HTML != ""
	var contenders []contender
	for _, spec := range c.Policies {
		contender, err := parseContender(spec)
		if err != nil {
			return err
		}
		contenders = append(contenders, contender)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results []fleet.Result
	for _, contender := range contenders {
		result, err := contender.run(ctx, options, out.errOut)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if c.HTML != "" {
		if err := c.writePage(options, results); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := writeJSON(out, results); err != nil {
			return err
		}
	} else {
		printFleet(out, results)
	}
	for _, result := range results {
		if brokeRules(result) {
			return errFindings
		}
	}
	return nil
}

// writeJSON prints value as indented JSON.
func writeJSON(out *output, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writePage writes the HTML report to the file that the flag --html names.
func (c *playCommand) writePage(options fleet.Options, results []fleet.Result) error {
	page := report.Page{Title: fmt.Sprintf("%d controllers, %d engines, %v", options.Controllers, options.Engines, options.Duration), Faults: options.Faults,
		Results: results, Command: "yarrowbarrow " + strings.Join(os.Args[1:], " ")}
	for _, row := range fleetRows(results) {
		pageRow := report.Row{Name: row.name}
		for _, result := range results {
			pageRow.Values = append(pageRow.Values, row.format(result))
		}
		page.Rows = append(page.Rows, pageRow)
	}
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := report.Write(file, page); err != nil {
		return err
	}
	return file.Close()
}

// fleetRow is a row of the result table. format returns its cell for a run.
type fleetRow struct {
	name   string
	format func(fleet.Result) string
}

// fleetFigures returns the figures that are shown for each run. The windows are those of the first result.
func fleetFigures(results []fleet.Result) (figures []fleet.Metric) {
	add := func(name, format string, value func(fleet.Result) float64) {
		figures = append(figures, fleet.Metric{Name: name, Format: format, Value: value})
	}
	if len(results) > 0 {
		for index, window := range results[0].Figures.Windows {
			add(fmt.Sprintf("busiest engine over the mean, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[index].Busiest })
			add(fmt.Sprintf("idlest, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[index].Idlest })
			add(fmt.Sprintf("variation, %v", window.Length), "%.2f", func(r fleet.Result) float64 { return r.Figures.Windows[index].Variation })
		}
	}
	add("herd: variance over mean, 50ms", "%.2f", func(r fleet.Result) float64 { return r.Figures.ArrivalDispersion })
	add("of the worst engine", "%.2f", func(r fleet.Result) float64 { return r.Figures.MaxArrivalDispersion })
	add("surge, 50ms", "%.1f", func(r fleet.Result) float64 { return r.Figures.PeakArrivals })
	add("idle while a job was held, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Idle })
	add("core time used, %", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.Busy })
	add("rejected, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Rejected })
	add("rejected beside a free core, %", "%.2f", func(r fleet.Result) float64 { return 100 * r.Figures.Stranded })
	add("in time, %, mean of controllers", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.InTime })
	add("at the worst controller", "%.1f", func(r fleet.Result) float64 { return 100 * r.Figures.Worst })
	add("attempts a job", "%.2f", func(r fleet.Result) float64 { return r.Figures.AttemptsPerJob })
	add("dials", "%.0f", func(r fleet.Result) float64 { return float64(r.Figures.Dials.Total) })
	add("most a second over the mean", "%.1f", func(r fleet.Result) float64 { return r.Figures.Dials.MaxOverMean })
	add("discovery calls", "%.0f", func(r fleet.Result) float64 { return float64(r.Figures.DiscoveryCalls.Total) })
	add("most a second over the mean", "%.1f", func(r fleet.Result) float64 { return r.Figures.DiscoveryCalls.MaxOverMean })
	add("processor, % of a core", "%.1f", func(r fleet.Result) float64 { return 100 * r.CPU })
	add("memory, MB", "%.1f", func(r fleet.Result) float64 { return r.Memory })
	add("jobs", "%.0f", func(r fleet.Result) float64 { return float64(r.Figures.Jobs) })
	return figures
}

// fleetRows returns the rows of the result table: all figures, then what the audit counted as violations of the rules.
func fleetRows(results []fleet.Result) (rows []fleetRow) {
	for _, figure := range fleetFigures(results) {
		rows = append(rows, fleetRow{figure.Name, func(r fleet.Result) string { return fmt.Sprintf(figure.Format, figure.Value(r)) }})
	}
	addPair := func(name string, counts func(fleet.Audit) (int, int)) {
		rows = append(rows, fleetRow{name, func(r fleet.Result) string {
			first, second := counts(r.Audit)
			return fmt.Sprintf("%d, %d", first, second)
		}})
	}
	addPair("rule 1: lost, answered twice", func(audit fleet.Audit) (int, int) { return audit.Lost, audit.Doubled })
	addPair("rule 2 repeated, 3 after a drain", func(audit fleet.Audit) (int, int) { return audit.Repeated, audit.Drained })
	rows = append(rows, fleetRow{"rule 4 felled, most of what fells", func(r fleet.Result) string {
		return fmt.Sprintf("%d, %.2f", r.Audit.Felled, r.Audit.Cold)
	}})
	addPair("rule 6 misplaced, 7 over budget", func(audit fleet.Audit) (int, int) { return audit.Strayed, audit.Excess })
	addPair("at two engines at once, crashed", func(audit fleet.Audit) (int, int) { return audit.Together, audit.Crashes })
	return rows
}

// printFleet prints a table with a row for each figure and a column for each run.
func printFleet(out *output, results []fleet.Result) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	rows := append([]fleetRow{{"", func(r fleet.Result) string { return r.Policy }}}, fleetRows(results)...)
	for _, row := range rows {
		fmt.Fprint(w, row.name, "\t")
		for _, r := range results {
			fmt.Fprint(w, row.format(r), "\t")
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// compareCommand runs two contenders in pairs on the same seeds.
type compareCommand struct {
	First  string `name:"a" arg:"" help:"First policy, as for the command play, such as own or two-choices, or own@PATH for another build."`
	Second string `name:"b" arg:"" help:"Second policy, compared with the first."`
	Pairs  int    `name:"pairs" default:"5" help:"Number of seeds; both policies run on each, and take turns in running first."`
	JSON   bool   `name:"json" help:"Print as JSON."`
	fleetFlags
}

func (compareCommand) Help() string {
	return `The interval is the 95% confidence interval of the difference; a figure is marked with an asterisk if its interval does not
contain zero. With about twenty figures, one is expected to be marked by chance.
  yarrowbarrow fleet compare own@before/yarrowbarrow own --fault 'kill:0.7@5s'`
}

func (c *compareCommand) Run(out *output) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	var contenders [2]contender
	for index, spec := range []string{c.First, c.Second} {
		if contenders[index], err = parseContender(spec); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results [2][]fleet.Result
	rulesBroken := false
	for pair := range max(c.Pairs, 1) {
		for order := range contenders {
			index := (order + pair) % len(contenders)
			options.Seed = c.Seed + int64(pair)
			result, err := contenders[index].run(ctx, options, out.errOut)
			if err != nil {
				return err
			}
			results[index] = append(results[index], result)
			if brokeRules(result) {
				rulesBroken = true
				fmt.Fprintf(out.errOut, "%s, seed %d: %+v\n", contenders[index].spec, options.Seed, result.Audit)
			}
		}
	}
	comparisons := fleet.Compare(results[0], results[1], fleetFigures(results[0]))
	if c.JSON {
		err = writeJSON(out, comparisons)
	} else {
		printComparison(out, c, comparisons)
	}
	if err == nil && rulesBroken {
		err = errFindings
	}
	return err
}

// printComparison prints a row for each figure: both means, their difference and its interval.
func printComparison(out *output, c *compareCommand, comparisons []fleet.Comparison) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%d pairs\t%s\t%s\tdifference\tin\t\t\n", c.Pairs, c.First, c.Second)
	for _, figure := range comparisons {
		mark := ""
		if figure.Significant {
			mark = "*"
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%+.2f\t%+.2f to %+.2f\t%s\t\n", figure.Name, figure.MeanA, figure.MeanB, figure.Difference, figure.CILow, figure.CIHigh, mark)
	}
	_ = w.Flush()
}

// daysCommand runs each policy through the named fault scenarios of fleet.Scenarios.
type daysCommand struct {
	Only     []string `name:"only" help:"Names of the days to run; all by default."`
	Policies []string `name:"policies" default:"own,two-choices" help:"Policies, as for the command play; each runs on each day."`
	JSON     bool     `name:"json" help:"Print as JSON."`
	fleetFlags
}

func (c *daysCommand) Run(out *output) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	type dayResult struct {
		Day string `json:"day"`
		fleet.Result
	}
	var results []dayResult
	rulesBroken := false
	for _, day := range fleet.Scenarios {
		if len(c.Only) > 0 && !slices.Contains(c.Only, day.Name) {
			continue
		}
		dayOptions, err := day.Options(options)
		if err != nil {
			return err
		}
		for _, spec := range c.Policies {
			contender, err := parseContender(spec)
			if err != nil {
				return err
			}
			result, err := contender.run(ctx, dayOptions, out.errOut)
			if err != nil {
				return err
			}
			results = append(results, dayResult{day.Name, result})
			rulesBroken = rulesBroken || brokeRules(result)
		}
	}
	if c.JSON {
		err = writeJSON(out, results)
	} else {
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "day\tpolicy\tbusiest 1s\t10s\therd\tworst\tidle %\tthrottled %\tin time %\tworst %\tdials\tpeak\tfeed\tpeak\trules")
		for _, result := range results {
			figures, rules := result.Figures, "kept"
			if audit := result.Audit; audit.Broken() {
				rules = fmt.Sprintf("%+v", audit)
			}
			busiest := func(window int) float64 {
				if window < len(figures.Windows) {
					return figures.Windows[window].Busiest
				}
				return 0
			}
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.1f\t%.1f\t%d\t%.1f\t%d\t%.1f\t%s\n", result.Day, result.Policy, busiest(1), busiest(2), figures.ArrivalDispersion,
				figures.MaxArrivalDispersion, 100*figures.Idle, 100*figures.Rejected, 100*figures.InTime, 100*figures.Worst, figures.Dials.Total, figures.Dials.MaxOverMean, figures.DiscoveryCalls.Total,
				figures.DiscoveryCalls.MaxOverMean, rules)
		}
		err = w.Flush()
	}
	if err == nil && rulesBroken {
		err = errFindings
	}
	return err
}

// talkCommand measures the gossip membership in fleets of given sizes.
type talkCommand struct {
	Instances []int         `name:"instances" default:"20,100" help:"Numbers of instances, one run for each number."`
	Period    time.Duration `name:"period" default:"1s" help:"Interval between the probes of an instance."`
	Seed      int64         `name:"seed" default:"1" help:"Seed of the random packet loss."`
	JSON      bool          `name:"json" help:"Print as JSON."`
}

func (c *talkCommand) Run(out *output) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	// An interrupt must leave nothing behind: the instances end with this process, and their folder is removed on return.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results []fleet.MembershipResult
	for _, instances := range c.Instances {
		result, err := fleet.MeasureMembership(ctx, program, min(max(instances, 2), 400), c.Period, c.Seed, func(format string, args ...any) {
			fmt.Fprintf(out.errOut, "%d: "+format+"\n", append([]any{instances}, args...)...)
		})
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if c.JSON {
		return writeJSON(out, results)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	addRow := func(name string, value func(fleet.MembershipResult) string) {
		fmt.Fprint(w, name, "\t")
		for _, result := range results {
			fmt.Fprint(w, value(result), "\t")
		}
		fmt.Fprintln(w)
	}
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
	addRow("instances", func(result fleet.MembershipResult) string { return fmt.Sprint(result.Instances) })
	addRow("all known after", func(result fleet.MembershipResult) string { return seconds(result.Formed) })
	addRow("age of words: half, 99 of 100", func(result fleet.MembershipResult) string {
		return seconds(result.AgeMedian) + ", " + seconds(result.AgeP99)
	})
	addRow("datagrams, bytes a second each", func(result fleet.MembershipResult) string {
		return fmt.Sprintf("%.1f, %.0f", result.Datagrams, result.Bytes)
	})
	addRow("processor, % of a core; memory, MB", func(result fleet.MembershipResult) string {
		return fmt.Sprintf("%.2f, %.1f", 100*result.CPU, result.Memory)
	})
	addRow("loss known: first, half, all", func(result fleet.MembershipResult) string {
		return seconds(result.DetectedFirst) + ", " + seconds(result.DetectedHalf) + ", " + seconds(result.DetectedAll)
	})
	addRow("wrongly gone: calm, 30% loss", func(result fleet.MembershipResult) string {
		return fmt.Sprintf("%d, %d", result.FalseGone, result.FalseGoneLossy)
	})
	addRow("healed after a split", func(result fleet.MembershipResult) string { return seconds(result.Healed) })
	return w.Flush()
}

// faultsCommand lists the kinds of faults with their descriptions.
type faultsCommand struct{}

func (faultsCommand) Run(out *output) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for _, fault := range fleet.FaultKinds() {
		fmt.Fprintf(w, "%s\t%s\n", fault[0], fault[1])
	}
	return w.Flush()
}

// baselineCommand serves with a baseline policy. Fleet runs start it to compare its results with those of the own policy.
type baselineCommand struct {
	Policy string `name:"policy" arg:"" help:"random, round-robin, least-outstanding or two-choices; or without-rule-1, -2, -3, -6 or -7, the own policy with one guard removed."`
}

func (b *baselineCommand) Run(log *slog.Logger) error {
	module, err := baseline.New(b.Policy)
	if err != nil {
		return err
	}
	serve := serveCommand{beforeRun: func(c *controller.Controller) { c.SetModule(module, baseline.NeedsGuardsDisabled(b.Policy)) }}
	return serve.Run(log)
}
