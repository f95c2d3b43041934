package main

// #include <signal.h>
//
// static void __attribute__((constructor)) ignoreEarly(void) {
//	signal(SIGHUP, SIG_IGN);
//	signal(SIGUSR1, SIG_IGN);
// }
import "C"

import (
	"os"
	"os/signal"
	"syscall"
)

// HUP has a controller read its configuration, USR1 has it print its counters. One that comes while the process is being started,
// before the runtime can take signals, would end it: both are ignored from before the runtime's begin until serve waits for them,
// and the configuration is read after that. Other commands end on HUP as usual.
var hangups = make(chan os.Signal, 1)

// exitOnHangup is for commands that a terminal started.
func exitOnHangup() {
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		<-hangups
		os.Exit(exitFindings)
	}()
}

// cancelExitOnHangup takes that back, once something else waits for the signal.
func cancelExitOnHangup() { signal.Stop(hangups) }
