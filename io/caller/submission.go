package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"rosemarywalk/core/finding"
	"rosemarywalk/core/place"
	"rosemarywalk/io/dispatch"
)

// Limits bounds the submissions of callers.
type Limits struct {
	MaxBodyBytes    int           // of a submission
	MaxTasks        int           // of a job
	DefaultDeadline time.Duration // of a submission that specifies none
	MaxDeadline     time.Duration // the longest that a submission may specify
}

// jobBody is the JSON form of a submitted job.
type jobBody struct {
	Service  string     `json:"service"`
	Team     string     `json:"team"`
	Deadline *int       `json:"deadline"` // milliseconds from arrival
	Tasks    []taskBody `json:"tasks"`
}

type taskBody struct {
	Body         json.RawMessage `json:"body"`
	Cores        int             `json:"cores"`
	Memory       int             `json:"memory"` // MB
	Accelerators int             `json:"accelerators"`
}

// parseJob decodes and validates a job. The error lists all findings.
func parseJob(raw []byte, limits Limits) (dispatch.Submission, error) {
	var body jobBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return dispatch.Submission{}, syntaxError(raw, decoder.InputOffset(), err)
	}
	if decoder.More() {
		return dispatch.Submission{}, syntaxError(raw, decoder.InputOffset(), errors.New("more than one JSON value"))
	}
	findings := validateJob(body, limits)
	if len(findings) > 0 {
		return dispatch.Submission{}, findings
	}
	return newSubmission(raw, body, limits), nil
}

// syntaxError reports a JSON error with its line.
func syntaxError(raw []byte, offset int64, err error) error {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = syntaxErr.Offset
	}
	offset = min(offset, int64(len(raw)))
	return finding.List{{
		Line: 1 + bytes.Count(raw[:offset], []byte("\n")),
		Text: fmt.Sprintf("byte %d: %s", offset, err),
	}}
}

func validateJob(body jobBody, limits Limits) finding.List {
	var findings finding.List
	add := func(key, format string, args ...any) {
		findings = append(findings, finding.Finding{
			Key:  key,
			Text: fmt.Sprintf(format, args...),
		})
	}
	if body.Service == "" {
		add("service", "is missing")
	}
	if n := len(body.Tasks); n < 1 || n > limits.MaxTasks {
		add("tasks", "%d tasks, allowed are 1 to %d", n, limits.MaxTasks)
	}
	if body.Deadline != nil {
		d := time.Duration(*body.Deadline) * time.Millisecond
		if *body.Deadline < 1 || *body.Deadline > int(limits.MaxDeadline/time.Millisecond) {
			add("deadline", "%s is outside 1ms to %s", d, limits.MaxDeadline)
		}
	}
	for i, t := range body.Tasks {
		if len(t.Body) == 0 {
			add(fmt.Sprintf("tasks[%d].body", i), "is missing")
		}
		if t.Cores < 0 || t.Memory < 0 || t.Accelerators < 0 {
			add(fmt.Sprintf("tasks[%d]", i), "cores, memory and accelerators can't be negative")
		}
	}
	return findings
}

func newSubmission(raw []byte, body jobBody, limits Limits) dispatch.Submission {
	sub := dispatch.Submission{
		Service:     body.Service,
		Team:        body.Team,
		Deadline:    limits.DefaultDeadline,
		Fingerprint: xxhash.Sum64(raw),
	}
	if body.Deadline != nil {
		sub.Deadline = time.Duration(*body.Deadline) * time.Millisecond
	}
	for _, t := range body.Tasks {
		sub.Bodies = append(sub.Bodies, t.Body)
		sub.Need = place.Size{
			Cores:        max(sub.Need.Cores, t.Cores),
			Memory:       max(sub.Need.Memory, t.Memory),
			Accelerators: max(sub.Need.Accelerators, t.Accelerators),
		}
	}
	return sub
}

// parseRequest converts a single request to a job with one task.
func parseRequest(service, contentType string, atMostOnce bool, raw []byte, limits Limits) dispatch.Submission {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(service), []byte(contentType), raw} {
		_, _ = fmt.Fprintf(digest, "%d:", len(part))
		_, _ = digest.Write(part)
	}
	return dispatch.Submission{
		Service:     service,
		Bodies:      [][]byte{raw},
		Type:        contentType,
		Deadline:    limits.DefaultDeadline,
		Idempotent:  !atMostOnce,
		Raw:         true,
		Fingerprint: digest.Sum64(),
	}
}
