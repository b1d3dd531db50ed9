package proof

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readCounter returns the value of one series in the Prometheus text format.
func readCounter(t *testing.T, r io.Reader, series string) int {
	t.Helper()
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		value, ok := strings.CutPrefix(scanner.Text(), series+" ")
		if !ok {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		assert.NilError(t, err)
		return int(number)
	}
	t.Fatalf("no series %s", series)
	return 0
}
