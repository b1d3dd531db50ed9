package server

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// ErrMemory means that the memory for requests was needed for others. The request was not
// read completely, and its connection is closed after the response.
const ErrMemory = errors.ConstError("too little memory to read the request")

// Sizes of the parts in which bodies are read, in bytes.
const (
	firstPart = 1 << 10
	nextPart  = 16 << 10
)

// ReadBody reads the body of a request, of at most limit bytes, and takes the memory for it
// before it is read. The memory is held until the response, or until ReleaseBody. The error
// is an *http.MaxBytesError for a larger body, or ErrMemory.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body, err := c.readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if c.interrupted.Load() && err != nil {
		c.refused.Store(true)
		w.Header().Set("Connection", "close")
		return nil, ErrMemory
	}
	return body, err
}

// readBody reads a body whose length may be known.
func (c *conn) readBody(body io.Reader, length int64) ([]byte, error) {
	if !c.guard.pin(c, false) {
		return nil, ErrMemory
	}
	var parts [][]byte
	total := 0
	for size := firstPart; ; size = nextPart {
		if rest := length - int64(total); length >= 0 {
			size = int(min(max(rest, 0), nextPart)) + 1 // for the end of the body
		}
		if !c.take(size) {
			return nil, ErrMemory
		}
		part := make([]byte, size)
		n, err := fill(body, part)
		parts = append(parts, part[:n])
		total += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(parts) > 1 && !c.take(total) {
		return nil, ErrMemory
	}
	if !c.guard.pin(c, true) {
		return nil, ErrMemory
	}
	c.complete = true
	if len(parts) == 1 {
		return parts[0], nil
	}
	return bytes.Join(parts, nil), nil
}

// fill reads until the buffer is full or an error occurs.
func fill(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (c *conn) take(n int) bool {
	c.body += n
	return c.guard.take(c, n)
}

// ReleaseBody gives back the memory that ReadBody took for a request, once the body isn't
// used any more.
func ReleaseBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.guard.give(c, c.body)
		c.body = 0
	}
}
