package hollow

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseKeys(t *testing.T) {
	got := parseKeys("Name:\tweldagent\nVmRSS:\t   9216 kB\nrchar: 12\nempty:\nno colon\n")
	assert.Equal(t, map[string]int64{"VmRSS": 9216, "rchar": 12}, got)
}

// The CPU time of this process never decreases, and the bytes of a file it has read are counted. A missing process is an error.
func TestReadUsage(t *testing.T) {
	before, err := readUsage(os.Getpid())
	require.NoError(t, err)
	_, err = os.ReadFile("/proc/self/status")
	require.NoError(t, err)
	after, err := readUsage(os.Getpid())
	require.NoError(t, err)
	used := after.minus(before)
	assert.GreaterOrEqual(t, used.CPU, before.minus(before).CPU)
	assert.Positive(t, used.Read)
	assert.Positive(t, used.Resident)
	_, err = readUsage(1 << 30)
	assert.Error(t, err)
}
