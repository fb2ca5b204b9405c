// Command weldcontroller is the control plane of the fleet: it serves the operator's API, holds a replica of the register
// and distributes configuration and instances.
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
