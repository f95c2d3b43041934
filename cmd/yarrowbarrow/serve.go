package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"yarrowbarrow/config"
	"yarrowbarrow/controller"
)

// serveCommand runs one controller until SIGTERM or SIGINT.
type serveCommand struct {
	beforeRun     func(*controller.Controller) // adjusts the controller before Run; nil for none
	OperatorsFile string                       `name:"operators" env:"BALANCER_OPERATORS" type:"path" placeholder:"FILE" help:"The operators' file. Without one, a job may be sent to any engine that its type allows."`
}

func (serveCommand) Help() string {
	return `Configured by environment variables: BALANCER_CONFIG is the path of the platform's JSON file; BALANCER_NAME and
BALANCER_LISTEN override its values. SIGHUP reloads all files, SIGUSR1 logs the counters, SIGTERM shuts down.

  BALANCER_CONFIG=deploy/example.json yarrowbarrow --operators deploy/operator.conf`
}

func (s *serveCommand) Run(log *slog.Logger) error {
	// SIGTERM and SIGINT are caught before anything else, as an uncaught one would kill the process. They stay caught until the
	// process exits: a repeated signal that comes after all jobs have been answered must not change how it exits.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // a write to a log whose reader has exited would raise it; sockets raise none
	slog.SetDefault(log)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	cancelExitOnHangup()
	readConfig := func() (config.Config, error) { return config.FromEnvironment(s.OperatorsFile) }
	cfg, err := readConfig()
	for _, message := range cfg.Messages {
		log.Warn("operators' file", "says", message)
	}
	if err != nil {
		log.Error("configuration", "why", err)
		return errFindings
	}
	ctl := controller.New(cfg, log.With("name", cfg.Name))
	if s.beforeRun != nil {
		s.beforeRun(ctl)
	}
	node, leaveFleet, err := joinFleet(cfg, ctl.OpenJobs, log.With("name", cfg.Name))
	if err != nil {
		log.Error("fleet", "why", err)
		return errFindings
	}
	defer leaveFleet()
	go func() {
		<-terminate
		cancel()
	}()
	counterSignals := make(chan os.Signal, 1)
	signal.Notify(counterSignals, syscall.SIGUSR1)
	go func() {
		for range counterSignals {
			ctl.LogCounters()
		}
	}()
	go func() {
		for range reloadSignals {
			_ = ctl.Reload(readConfig) // Reload logs and counts its own errors
			if node != nil {
				if err := node.ReadKeys(); err != nil {
					log.Error("key not taken", "why", err)
				}
			}
		}
	}()
	if err := ctl.Run(ctx); err != nil {
		log.Error("ended", "why", err)
		return errFindings
	}
	return nil
}
