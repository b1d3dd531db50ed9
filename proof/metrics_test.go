package proof

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// readCounter finds one series in the text form of metrics.
func readCounter(t *testing.T, from io.Reader, series string) int {
	t.Helper()
	scanner := bufio.NewScanner(from)
	for scanner.Scan() {
		value, ok := strings.CutPrefix(scanner.Text(), series+" ")
		if !ok {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		assert.NilError(t, err)
		return int(x)
	}
	t.Fatalf("no series %s", series)
	return 0
}
