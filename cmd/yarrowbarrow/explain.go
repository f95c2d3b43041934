package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"yarrowbarrow/config/lang"
	"yarrowbarrow/decide/route"
)

// loadOperatorsFile loads an operators' file. If the file has errors, it prints them and returns errFindings.
func loadOperatorsFile(path string, platform *lang.Platform, out *output) (*lang.Config, error) {
	loaded := lang.Load(path, platform)
	if loaded.Plan == nil {
		_ = loaded.Messages.Print(out.errOut)
		return nil, errFindings
	}
	return loaded, nil
}

// diffCommand compares the meaning of two versions of an operators' file.
type diffCommand struct {
	JSON     bool   `name:"json" help:"Print the changes as JSON."`
	ExitCode bool   `name:"exit-code" help:"Exit with code 1 if there is any change."`
	Old      string `name:"old" arg:"" help:"Earlier version of the operators' file."`
	New      string `name:"new" arg:"" help:"Later version of the operators' file."`
}

func (diffCommand) Help() string {
	return `Compares the meaning of the files, after includes and inheritance. Jobs that would take another route are reported
with an example for each pair of routes; values that changed by a factor of 100 or more are highlighted.

  yarrowbarrow diff --exit-code yesterday/operator.conf deploy/operator.conf`
}

func (d *diffCommand) Run(out *output) error {
	oldConfig, err := loadOperatorsFile(d.Old, nil, out)
	if err != nil {
		return err
	}
	newConfig, err := loadOperatorsFile(d.New, nil, out)
	if err != nil {
		return err
	}
	changes, complete := lang.Diff(oldConfig, newConfig)
	if d.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if changes == nil {
			changes = []lang.Change{}
		}
		err = encoder.Encode(map[string]any{"changes": changes, "complete": complete})
	} else {
		for _, change := range changes {
			fmt.Fprintln(out, change)
		}
		if !complete {
			fmt.Fprintln(out, "! there may be more jobs that take another route: there are too many routes, or too broad ones, to compare all of them")
		}
	}
	if err == nil && d.ExitCode && len(changes) > 0 {
		err = errFindings
	}
	return err
}

// explainCommand shows which route and pools a given job would use, and why.
type explainCommand struct {
	platformFlag
	JSON bool     `name:"json" help:"Print the explanation as JSON."`
	File string   `name:"file" arg:"" help:"The operators' file."`
	Job  []string `name:"job" arg:"" help:"Job, described by terms such as type=lookup customer=c1 tables=17 cost=2core-s memory=96MB left=1500ms."`
}

func (explainCommand) Help() string {
	return `Engines are taken from the initial list in the platform's file. A running controller logs the route of each job
at --log-level debug, and state changes of its pools at level info.

  yarrowbarrow explain --platform deploy/example.json deploy/operator.conf type=load cost=3core-s`
}

// explanation is the result of the command explain, and its JSON form.
type explanation struct {
	Job           string            `json:"job"`
	Route         string            `json:"route,omitempty"`
	Policy        string            `json:"policy,omitempty"`
	Limits        []string          `json:"limits,omitempty"`
	Pools         []poolExplanation `json:"pools,omitempty"`
	SkippedRoutes []skippedRoute    `json:"passed,omitempty"`
}

// poolExplanation describes a pool of the route. All but Pool and Overflow are set only if the platform's file is given.
type poolExplanation struct {
	Pool         string           `json:"pool"`
	Engines      []route.EngineID `json:"engines,omitempty"` // that belong to the pool
	OtherEngines int              `json:"others,omitempty"`  // number of known engines outside the pool
	EngineCount  string           `json:"stands,omitempty"`  // number of engines in the pool and the minimum, as a text
	MeetsMinimum *bool            `json:"fit,omitempty"`
	Overflow     string           `json:"overflow,omitempty"`
}

// skippedRoute is a route before the chosen one, with the match term that excludes the job.
type skippedRoute struct {
	Route  string `json:"route"`
	Reason string `json:"why"`
}

func (e *explainCommand) Run(out *output) error {
	cfg, platform, err := e.readPlatform()
	if err != nil {
		return err
	}
	operators, err := loadOperatorsFile(e.File, platform, out)
	if err != nil {
		return err
	}
	job, err := lang.ParseJob(strings.Join(e.Job, ","))
	if err != nil {
		return err
	}
	var engines []route.Engine
	if cfg != nil {
		engines = cfg.Engines()
	}
	found := operators.Plan.Explain(&job, engines)
	result := explanation{Job: lang.FormatJob(&job)}
	for _, passed := range found.SkippedRoutes {
		result.SkippedRoutes = append(result.SkippedRoutes, skippedRoute{string(passed.Route.Name), passed.Mismatch})
	}
	if matched := found.Route; matched != nil {
		result.Route, result.Policy, result.Limits = string(matched.Name), matched.Policy.Name, matched.Policy.Limits()
		for _, poolView := range found.Pools {
			pool := poolExplanation{Pool: string(poolView.Pool.Name), Overflow: string(poolView.Pool.Overflow)}
			if cfg != nil {
				pool.Engines, pool.OtherEngines, pool.EngineCount, pool.MeetsMinimum = poolView.Engines, poolView.NonMembers, poolView.Summary, &poolView.Healthy
			}
			result.Pools = append(result.Pools, pool)
		}
	}
	if e.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	result.print(out)
	return nil
}

// print writes the explanation as text.
func (e *explanation) print(out *output) {
	fmt.Fprintf(out, "job    %s\n", e.Job)
	for _, p := range e.SkippedRoutes {
		fmt.Fprintf(out, "passed route %q, as it does not hold that %s\n", p.Route, p.Reason)
	}
	if e.Route == "" {
		fmt.Fprintln(out, "route  none: any engine that its type allows")
		return
	}
	fmt.Fprintf(out, "route  %q\n", e.Route)
	if len(e.Pools) == 0 {
		fmt.Fprintln(out, "pool   none: any engine that its type allows")
	}
	for index, p := range e.Pools {
		label := "pool  "
		if index > 0 {
			label = "else  "
		}
		fmt.Fprintf(out, "%s %s", label, p.Pool)
		if p.MeetsMinimum != nil {
			fmt.Fprintf(out, ": %s, of %d that are known", p.EngineCount, len(p.Engines)+p.OtherEngines)
			if !*p.MeetsMinimum {
				fmt.Fprint(out, "; not fit, so that it is passed over")
			}
		}
		if p.Overflow != "" {
			fmt.Fprintf(out, "; what waits there for long may also go to %s", p.Overflow)
		}
		fmt.Fprintln(out)
		for _, engine := range p.Engines {
			fmt.Fprintf(out, "       %s\n", engine)
		}
	}
	if e.Policy != "" {
		fmt.Fprintf(out, "policy %s: %s\n", e.Policy, strings.Join(e.Limits, ", "))
	}
}

// routesCommand prints the routes of an operators' file in the order in which they are tried.
type routesCommand struct {
	platformFlag
	File string `name:"file" arg:"" help:"The operators' file."`
}

func (r *routesCommand) Run(out *output) error {
	_, platform, err := r.readPlatform()
	if err != nil {
		return err
	}
	operators, err := loadOperatorsFile(r.File, platform, out)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "#\troute\tmatch\tpools\tpolicy")
	for n, r := range operators.Plan.Routes {
		var pools []string
		for _, p := range r.Pools {
			pools = append(pools, string(p.Name))
		}
		if pools == nil {
			pools = []string{"any engine"}
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", n+1, r.Name, r.Match, strings.Join(pools, ", else "), r.Policy.Name)
	}
	return w.Flush()
}

// versionCommand prints the version of the program and of the Go toolchain that built it.
type versionCommand struct{}

func (versionCommand) Run(out *output) error {
	_, err := fmt.Fprintln(out, "yarrowbarrow", version())
	return err
}

// completionCommand prints a bash completion script.
type completionCommand struct{}

func (completionCommand) Help() string { return `  source <(yarrowbarrow completion)` }

// Run prints a script that completes the names of commands and their flags, and from the second word on also file names.
func (completionCommand) Run(out *output, parser *kong.Kong) error {
	var cases, names []string
	flagNames := func(node *kong.Node) (long []string) {
		for _, flag := range node.Flags {
			long = append(long, "--"+flag.Name)
		}
		return long
	}
	for _, node := range parser.Model.Children {
		names = append(names, node.Name)
		cases = append(cases, fmt.Sprintf("    %s) words=\"%s\" ;;", node.Name, strings.Join(append(flagNames(node), flagNames(parser.Model.Node)...), " ")))
	}
	_, err := fmt.Fprintf(out, `_yarrowbarrow() {
  local word=${COMP_WORDS[COMP_CWORD]} words="%s"
  case ${COMP_WORDS[1]} in
%s
  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
  [ $COMP_CWORD -gt 1 ] && [ "${word#-}" = "$word" ] && COMPREPLY=($(compgen -f -- "$word"))
}
complete -o filenames -F _yarrowbarrow yarrowbarrow
`, strings.Join(append(names, flagNames(parser.Model.Node)...), " "), strings.Join(cases, "\n"))
	return err
}
