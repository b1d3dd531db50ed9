package caller

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/finding"
	"rosemarywalk/core/job"
)

const kindJSON = "application/json"

// Response is what a caller is told.
type Response struct {
	Status int
	Kind   string // HTTP content type
	Body   []byte
	After  time.Duration // when to try again; 0 for no advice
}

// completeBody is the answer of a complete job.
type completeBody struct {
	State   string            `json:"state"`
	Answers []json.RawMessage `json:"answers"`
}

// failedBody is the answer of a failed or refused job.
type failedBody struct {
	State  string       `json:"state"`
	Ran    core.Ran     `json:"ran"`
	Reason core.Reason  `json:"reason"`
	Tasks  []failedTask `json:"tasks,omitempty"`
}

type failedTask struct {
	Task   int         `json:"task"`
	Server string      `json:"server,omitempty"`
	Ran    core.Ran    `json:"ran"`
	Reason core.Reason `json:"reason"`
}

// invalidBody is the answer to bad input; nothing ran because of it.
type invalidBody struct {
	State    string       `json:"state"`
	Findings finding.List `json:"findings"`
}

func respond(status int, body any) Response {
	raw, err := json.Marshal(body)
	if err != nil {
		return Response{
			Status: http.StatusInternalServerError,
			Kind:   kindJSON,
			Body:   []byte(`{"state":"failed","ran":"maybe","reason":"malformed"}`),
		}
	}
	return Response{
		Status: status,
		Kind:   kindJSON,
		Body:   append(raw, '\n'),
	}
}

// invalid reports bad input with its findings.
func invalid(status int, err error) Response {
	findings := finding.List{{Text: err.Error()}}
	var list finding.List
	if errors.As(err, &list) {
		findings = list
	}
	return respond(status, invalidBody{
		State:    "invalid",
		Findings: findings,
	})
}

// outcomeOf turns a job's outcome into a response.
func outcomeOf(o job.Outcome) Response {
	if !o.Complete {
		return failed(o)
	}
	body := completeBody{
		State:   "complete",
		Answers: make([]json.RawMessage, 0, len(o.Answers)),
	}
	for _, a := range o.Answers {
		body.Answers = append(body.Answers, quote(a.Body))
	}
	return respond(http.StatusOK, body)
}

// quote passes JSON on as it is, text as a JSON string and other bytes in base64.
func quote(raw []byte) json.RawMessage {
	if json.Valid(raw) {
		return raw
	}
	var quoted []byte
	if utf8.Valid(raw) {
		quoted, _ = json.Marshal(string(raw))
	} else {
		quoted, _ = json.Marshal(map[string][]byte{"base64": raw})
	}
	return quoted
}

func failed(o job.Outcome) Response {
	body := failedBody{
		State:  "failed",
		Ran:    o.Ran,
		Reason: o.Reason,
	}
	for _, f := range o.Failures {
		body.Tasks = append(body.Tasks, failedTask{
			Task:   f.Index,
			Server: f.Server,
			Ran:    f.Ran,
			Reason: f.Reason,
		})
	}
	r := respond(statusOf(o), body)
	r.After = o.RetryAfter
	if r.After == 0 && waitingHelps(o.Reason) {
		r.After = retryAfter
	}
	return r
}

// retryAfter is the advice when no better estimate is at hand.
const retryAfter = time.Second

func waitingHelps(reason core.Reason) bool {
	switch reason {
	case core.ReasonDraining, core.ReasonOverload, core.ReasonWait, core.ReasonQuota, core.ReasonStore, core.ReasonUnreachable:
		return true
	}
	return false
}

func statusOf(o job.Outcome) int {
	switch o.Reason {
	case core.ReasonQuota:
		return http.StatusTooManyRequests
	case core.ReasonFit, core.ReasonMismatch:
		return http.StatusUnprocessableEntity
	case core.ReasonService:
		return http.StatusNotFound
	case core.ReasonLost, core.ReasonForgotten:
		return http.StatusGone
	case core.ReasonCanceled:
		return http.StatusConflict
	case core.ReasonDeadline, core.ReasonDrainLimit:
		return http.StatusGatewayTimeout
	}
	if waitingHelps(o.Reason) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// rawOf turns a single request's outcome into the backend server's own answer.
func rawOf(o job.Outcome) Response {
	if !o.Complete {
		return failed(o)
	}
	a := o.Answers[0]
	return Response{
		Status: a.Status,
		Kind:   a.ContentType,
		Body:   a.Body,
	}
}

// stateBody is the answer for a job that has no outcome yet.
type stateBody struct {
	State string `json:"state"`
}

func running() Response { return respond(http.StatusAccepted, stateBody{State: "running"}) }

func unused() Response { return respond(http.StatusNotFound, stateBody{State: "unused"}) }
