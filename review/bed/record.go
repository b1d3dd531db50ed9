package bed

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the account of a script in its file record.txt.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		began: time.Now(),
		file:  file,
	}, nil
}

// Add writes a line with the time since the record began.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}
