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

// hangups receives SIGHUP in commands other than serve, which exit on it as usual.
//
// To a controller, SIGHUP means to reload its configuration and SIGUSR1 to log its counters. Either would kill the process if it came
// during startup, before the Go runtime can handle signals. The C constructor above therefore ignores both before the runtime starts,
// until serve handles them. The configuration is read only after that, so that a reload requested during startup is not missed.
var hangups = make(chan os.Signal, 1)

// exitOnHangup makes the process exit on SIGHUP, for commands that were started from a terminal.
func exitOnHangup() {
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		<-hangups
		os.Exit(exitFindings)
	}()
}

// cancelExitOnHangup undoes exitOnHangup. It is called once another channel receives SIGHUP.
func cancelExitOnHangup() { signal.Stop(hangups) }
