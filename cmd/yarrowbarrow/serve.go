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

type serveCommand struct {
	change    func(*controller.Controller) // before it runs, or nil
	Operators string                       `name:"operators" env:"BALANCER_OPERATORS" type:"path" placeholder:"FILE" help:"The operators' file; none: every job may go to every engine that its type allows."`
}

func (serveCommand) Help() string {
	return `Configured by the environment: BALANCER_CONFIG names the platform's JSON file, BALANCER_NAME and
BALANCER_LISTEN go before what it says. HUP reads all files again, USR1 logs the counters, TERM ends.

  BALANCER_CONFIG=deploy/example.json yarrowbarrow --operators deploy/operator.conf`
}

func (s *serveCommand) Run(log *slog.Logger) error {
	// First of all, as a signal that nothing waits for would end the process. They stay awaited until it has ended: one that comes
	// again, after all is answered, must not end it otherwise.
	ctx, end := context.WithCancel(context.Background())
	defer end()
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // of a log whose reader has gone; sockets raise none
	slog.SetDefault(log)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stayOnHangup()
	read := func() (config.Config, error) { return config.FromEnvironment(s.Operators) }
	cfg, err := read()
	for _, m := range cfg.Messages {
		log.Warn("operators' file", "says", m)
	}
	if err != nil {
		log.Error("configuration", "why", err)
		return errFindings
	}
	c := controller.New(cfg, log.With("name", cfg.Name))
	if s.change != nil {
		s.change(c)
	}
	fleet, leave, err := talk(cfg, c.OpenJobs, log.With("name", cfg.Name))
	if err != nil {
		log.Error("fleet", "why", err)
		return errFindings
	}
	defer leave()
	go func() {
		<-terminate
		end()
	}()
	show := make(chan os.Signal, 1)
	signal.Notify(show, syscall.SIGUSR1)
	go func() {
		for range show {
			c.LogCounters()
		}
	}()
	go func() {
		for range reload {
			_ = c.Reload(read) // which logs and counts what is wrong
			if fleet != nil {
				if err := fleet.ReadKeys(); err != nil {
					log.Error("key not taken", "why", err)
				}
			}
		}
	}()
	if err := c.Run(ctx); err != nil {
		log.Error("ended", "why", err)
		return errFindings
	}
	return nil
}
