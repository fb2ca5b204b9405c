package fleet

import (
	"fmt"
	"os"
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

// ProgramsIn returns the directory, or builds the fleet's programs into a temporary one if it is empty. The caller must call
// remove when the programs are no longer needed; it leaves a given directory alone.
func ProgramsIn(directory string) (programs string, remove func(), err error) {
	if directory != "" {
		return directory, func() {}, nil
	}
	temporary, err := os.MkdirTemp("", "weldfleet-programs-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(temporary) }
	if err := Build(temporary); err != nil {
		remove()
		return "", nil, err
	}
	return temporary, remove, nil
}
