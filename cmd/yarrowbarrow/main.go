// Command yarrowbarrow runs one controller, and checks, formats, compares and explains the operators' files.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"yarrowbarrow/internal/logsink"
)

// The exit codes.
const (
	fine     = 0
	findings = 1
	usage    = 2
)

// commands is the command line. Without a word it serves, as the platform starts it.
type commands struct {
	LogFormat string `name:"log-format" enum:"text,json" default:"text" help:"Form of the log: text or json."`
	LogLevel  string `name:"log-level" enum:"debug,info,warn,error" default:"info" help:"Least level that is logged: debug, info, warn or error."`

	Serve      serveCommand      `name:"serve" cmd:"" default:"withargs" help:"Run one controller (also without any word)."`
	Check      checkCommand      `name:"check" cmd:"" help:"Check an operators' file with all that it includes."`
	Fmt        fmtCommand        `name:"fmt" cmd:"" help:"Write operators' files in their canonical form."`
	Diff       diffCommand       `name:"diff" cmd:"" help:"Tell what two versions of an operators' file mean differently."`
	Explain    explainCommand    `name:"explain" cmd:"" help:"Tell where a job would go, and why."`
	Routes     routesCommand     `name:"routes" cmd:"" help:"Show the routes of an operators' file as a table."`
	Demo       demoCommand       `name:"demo" cmd:"" help:"Play a minute of load between stand-in engines, with an operators' file."`
	Fleet      fleetCommands     `name:"fleet" cmd:"" help:"Play hundreds of controllers between stand-in engines, and tell how evenly these were used."`
	Baseline   baselineCommand   `name:"baseline" cmd:"" hidden:"" help:"Serve with a plain policy, to measure against."`
	Members    membersCommand    `name:"members" cmd:"" help:"Show whom a running instance knows in its fleet, and how fresh that is."`
	Version    versionCommand    `name:"version" cmd:"" help:"Show the version of this program."`
	Completion completionCommand `name:"completion" cmd:"" help:"Write a completion script for bash."`
}

// lastLines is how long an ending process waits for the reader of its log.
const lastLines = 100 * time.Millisecond

// errFindings ends with exit code 1 after all has been said.
var errFindings = errors.New("findings")

// output is where commands write to; what is wrong goes to log.
type output struct {
	io.Writer
	log io.Writer
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, log io.Writer) (code int) {
	lines := logsink.New(log)
	defer lines.Flush(lastLines)
	if len(args) == 0 { // as the platform starts it: nothing of the command line is kept in memory
		serve := serveCommand{Operators: os.Getenv("BALANCER_OPERATORS")}
		return codeOf(serve.Run(slog.New(slog.NewTextHandler(lines, nil))), log)
	}
	endOnHangup()
	var c commands
	parser, err := kong.New(&c, kong.Name("yarrowbarrow"),
		kong.Description("A workload manager before analytic engines. Exit codes: 0 fine, 1 findings, 2 usage."),
		kong.UsageOnError(), kong.Writers(out, log), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(n int) { panic(exit(n)) }))
	if err != nil {
		fmt.Fprintln(log, err)
		return usage
	}
	defer func() {
		if e := recover(); e != nil {
			n, is := e.(exit)
			if !is {
				panic(e)
			}
			code = int(n)
		}
	}()
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(log, "yarrowbarrow: %v\nTry: yarrowbarrow --help\n", err)
		return usage
	}
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.LogLevel)) // the parser knows the levels
	options := &slog.HandlerOptions{Level: level}
	logger := slog.New(slog.NewTextHandler(lines, options))
	if c.LogFormat == "json" {
		logger = slog.New(slog.NewJSONHandler(lines, options))
	}
	return codeOf(ctx.Run(logger, &output{out, log}, parser), log)
}

func codeOf(err error, log io.Writer) int {
	switch {
	case errors.Is(err, errFindings):
		return findings
	case err != nil:
		fmt.Fprintln(log, "yarrowbarrow:", err)
		return findings
	}
	return fine
}

// exit is the code that help and the like end with.
type exit int
