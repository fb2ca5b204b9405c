package fleet

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// Build builds the fleet's programs into a directory.
func Build(directory string) error {
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "weldscale/cmd/weldrouter",
		"weldscale/cmd/weldagent",
		"weldscale/cmd/weldcontroller")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("building the fleet's programs: %w\n%s", err, out)
	}
	return nil
}
