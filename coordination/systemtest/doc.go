// Package systemtest simulates the coordination packages together: replicas of the register with leases and watches on some
// machines, followers and failure detectors on others, with every fault that package sim has. It holds only tests.
//
// The pure deciders of the packages are driven here as their own drivers do it over sockets. What is checked is told in
// docs/design/COORDINATION.md.
package systemtest
