// Command weldcontroller is the fleet's control plane: it serves the operator API, holds a replica of the register and
// distributes the configuration and the instance list.
package main

import (
	"weldscale/internal/controller"
	"weldscale/internal/daemon"
	"weldscale/internal/settings"
)

func main() {
	daemon.Main(daemon.Program{
		Name:  "weldcontroller",
		About: "serves the operator's API and distributes configuration and instances",
		Check: (*settings.Settings).CheckControl,
		Run:   controller.Run,
	})
}
