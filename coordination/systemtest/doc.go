// Package systemtest simulates the coordination packages together, with all faults of package sim. Some machines run
// controllers: replicas of the register with leases and a watch hub. The others run frontends: followers with failure
// detectors. The package contains only tests.
//
// The tests drive the state machines of the packages in the same way as the packages' own drivers, which use sockets.
// docs/design/COORDINATION.md describes what is checked.
package systemtest
