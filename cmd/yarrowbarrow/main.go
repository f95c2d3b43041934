// Command yarrowbarrow runs one controller, configured by the environment.
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

func main() {
	// First of all, as a signal that nothing waits for would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.FromEnvironment()
	if err != nil {
		log.Error("configuration", "why", err)
		os.Exit(1)
	}
	c := controller.New(cfg, log.With("name", cfg.Name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	show := make(chan os.Signal, 1)
	signal.Notify(show, syscall.SIGUSR1)
	go func() {
		for range show {
			c.LogCounters()
		}
	}()
	go func() {
		for range reload {
			_ = c.Reload(config.FromEnvironment) // which logs and counts what is wrong
		}
	}()
	if err := c.Run(ctx); err != nil {
		log.Error("ended", "why", err)
		os.Exit(1)
	}
}
