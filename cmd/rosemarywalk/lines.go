package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// maxLineBytes is the length beyond which a line counts as broken.
const maxLineBytes = 64 << 10

// errLineTooLong marks a line longer than maxLineBytes.
const errLineTooLong = errors.ConstError("line too long")

// readLines passes each line to add, or errLineTooLong for a line that is too long. The
// line is valid until add returns.
func readLines(from io.Reader, add func(line []byte, err error)) error {
	lines := bufio.NewReaderSize(from, maxLineBytes)
	for {
		line, tooLong, err := lines.ReadLine()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case !tooLong:
			add(line, nil)
			continue
		}
		add(nil, errLineTooLong)
		if err := skipLine(lines); err != nil {
			return err
		}
	}
}

// skipLine reads the rest of a line.
func skipLine(lines *bufio.Reader) error {
	for {
		_, more, err := lines.ReadLine()
		if errors.Is(err, io.EOF) || (err == nil && !more) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// decodeLine decodes the JSON object of a line. Log collectors put time and host before it.
func decodeLine(line []byte, to any) bool {
	begin := bytes.IndexByte(line, '{')
	return begin >= 0 && json.Unmarshal(line[begin:], to) == nil
}
