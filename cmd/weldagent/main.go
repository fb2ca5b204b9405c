// Command weldagent maintains the connection to the fleet's controllers and passes their updates over loopback to the router
// on the same machine.
package main

import (
	"weldscale/internal/agent"
	"weldscale/internal/daemon"
)

func main() {
	daemon.Main(daemon.Program{
		Name:  "weldagent",
		About: "keeps the link to the controllers and feeds the router of its machine",
		Run:   agent.Run,
	})
}
