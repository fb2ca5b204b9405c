// Command weldagent keeps the link to the fleet's controllers and feeds the router of its machine over loopback.
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
