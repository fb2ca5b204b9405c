// Command weldrouter is the fleet's data plane: it accepts client requests and forwards each one to a worker.
package main

import (
	"weldscale/internal/daemon"
	"weldscale/internal/router"
	"weldscale/internal/settings"
)

func main() {
	daemon.Main(daemon.Program{
		Name:  "weldrouter",
		About: "takes the clients' requests and forwards each to a worker",
		Check: (*settings.Settings).CheckFrontend,
		Run:   router.Run,
	})
}
