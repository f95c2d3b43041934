// Command yarrowbarrow runs one controller. It also checks, formats, compares and explains operators' files, and runs load tests
// against stand-in engines.
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

// Exit codes of the program. exitFindings also stands for every error other than wrong usage of the command line.
const (
	exitOK       = 0
	exitFindings = 1
	exitUsage    = 2
)

// commandLine holds the global flags and the commands. Without a command the program serves, which is how the platform starts it.
type commandLine struct {
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

// logFlushTimeout is how long the process waits at exit until the reader of its log has taken the remaining lines.
const logFlushTimeout = 100 * time.Millisecond

// errFindings makes the program exit with code 1 without printing an error, as the command has already reported its findings.
var errFindings = errors.New("findings")

// output is what commands print to: results go to the Writer, error reports to errOut.
type output struct {
	io.Writer
	errOut io.Writer
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes the command line args and returns the exit code of the process.
func run(args []string, out, errOut io.Writer) (code int) {
	logSink := logsink.New(errOut)
	defer logSink.Flush(logFlushTimeout)
	if len(args) == 0 { // the platform's invocation: skips the command line parser, so that it takes up no memory while serving
		serve := serveCommand{OperatorsFile: os.Getenv("BALANCER_OPERATORS")}
		return exitCodeOf(serve.Run(slog.New(slog.NewTextHandler(logSink, nil))), errOut)
	}
	exitOnHangup()
	var cli commandLine
	parser, err := kong.New(&cli, kong.Name("yarrowbarrow"),
		kong.Description("A workload manager before analytic engines. Exit codes: 0 fine, 1 findings, 2 usage."),
		kong.UsageOnError(), kong.Writers(out, errOut), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(status int) { panic(exitCode(status)) }))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			status, ok := recovered.(exitCode)
			if !ok {
				panic(recovered)
			}
			code = int(status)
		}
	}()
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "yarrowbarrow: %v\nTry: yarrowbarrow --help\n", err)
		return exitUsage
	}
	var level slog.Level
	_ = level.UnmarshalText([]byte(cli.LogLevel)) // can't fail: the parser has checked the level against the enum
	options := &slog.HandlerOptions{Level: level}
	logger := slog.New(slog.NewTextHandler(logSink, options))
	if cli.LogFormat == "json" {
		logger = slog.New(slog.NewJSONHandler(logSink, options))
	}
	return exitCodeOf(ctx.Run(logger, &output{out, errOut}, parser), errOut)
}

// exitCodeOf maps the error of a command to an exit code, and prints the error unless it is errFindings.
func exitCodeOf(err error, errOut io.Writer) int {
	switch {
	case errors.Is(err, errFindings):
		return exitFindings
	case err != nil:
		fmt.Fprintln(errOut, "yarrowbarrow:", err)
		return exitFindings
	}
	return exitOK
}

// exitCode is the panic value by which kong's exit hook unwinds to run, for example after it has printed a help text.
type exitCode int
