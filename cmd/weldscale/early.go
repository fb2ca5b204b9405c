//go:build cgo

package main

// This file handles signals that arrive before signal.Notify has been called. The system's default action for them would end
// the program as if it had crashed. A C constructor, which runs before any Go code, sets other actions. SIGHUP and SIGUSR1 are
// ignored; no reload is lost, because the configuration is read after the handlers are installed. SIGTERM and SIGINT exit with
// status 0, because no request can have been accepted yet. Blocking the signals would not work: the Go runtime unblocks those
// that end a program. Other signals and other commands than serve are not affected.

/*
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

// For a signal that no Notify covers, the Go runtime calls this handler instead of ending the program.
static void weldscale_end(int sig) { _exit(0); }

__attribute__((constructor)) static void weldscale_early_signals(int argc, char **argv) {
	if (getenv("GW_CONFIG") != NULL && (argc < 2 || argv[1][0] == '-' || strcmp(argv[1], "serve") == 0)) {
		signal(SIGHUP, SIG_IGN);
		signal(SIGUSR1, SIG_IGN);
		signal(SIGTERM, weldscale_end);
		signal(SIGINT, weldscale_end);
	}
}
*/
import "C"
