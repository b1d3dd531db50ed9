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

// Limits bounds what a caller may submit.
type Limits struct {
	Body     int           // bytes of a submission
	Tasks    int           // tasks of a job
	Deadline time.Duration // when a submission names none
	Longest  time.Duration // the longest deadline a submission may name
}

// jobBody is a job as callers write it.
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

// parseJob checks a job and returns every fault found.
func parseJob(raw []byte, limits Limits) (dispatch.Submission, error) {
	var body jobBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return dispatch.Submission{}, syntax(raw, decoder.InputOffset(), err)
	}
	if decoder.More() {
		return dispatch.Submission{}, syntax(raw, decoder.InputOffset(), errors.New("more than one JSON value"))
	}
	findings := checkJob(body, limits)
	if len(findings) > 0 {
		return dispatch.Submission{}, findings
	}
	return submission(raw, body, limits), nil
}

// syntax reports a JSON fault with its line.
func syntax(raw []byte, offset int64, err error) error {
	var wrong *json.SyntaxError
	if errors.As(err, &wrong) {
		offset = wrong.Offset
	}
	offset = min(offset, int64(len(raw)))
	return finding.List{{
		Line: 1 + bytes.Count(raw[:offset], []byte("\n")),
		Text: fmt.Sprintf("byte %d: %s", offset, err),
	}}
}

func checkJob(body jobBody, limits Limits) finding.List {
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
	if n := len(body.Tasks); n < 1 || n > limits.Tasks {
		add("tasks", "%d tasks, allowed are 1 to %d", n, limits.Tasks)
	}
	if body.Deadline != nil {
		d := time.Duration(*body.Deadline) * time.Millisecond
		if *body.Deadline < 1 || *body.Deadline > int(limits.Longest/time.Millisecond) {
			add("deadline", "%s is outside 1ms to %s", d, limits.Longest)
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

func submission(raw []byte, body jobBody, limits Limits) dispatch.Submission {
	sub := dispatch.Submission{
		Service:     body.Service,
		Team:        body.Team,
		Deadline:    limits.Deadline,
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

// parseRequest turns a single request into a job of one task.
func parseRequest(service, kind string, once bool, raw []byte, limits Limits) dispatch.Submission {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(service), []byte(kind), raw} {
		_, _ = fmt.Fprintf(digest, "%d:", len(part))
		_, _ = digest.Write(part)
	}
	return dispatch.Submission{
		Service:     service,
		Bodies:      [][]byte{raw},
		Type:        kind,
		Deadline:    limits.Deadline,
		Idempotent:  !once,
		Raw:         true,
		Fingerprint: digest.Sum64(),
	}
}
