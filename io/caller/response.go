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

const contentTypeJSON = "application/json"

// Response is the HTTP response to a caller.
type Response struct {
	Status      int
	ContentType string // media type of Body
	Body        []byte
	RetryAfter  time.Duration // suggested delay before a retry; 0 for no suggestion
}

// completeBody is the response body of a completed job.
type completeBody struct {
	State   string            `json:"state"`
	Answers []json.RawMessage `json:"answers"`
}

// failedBody is the response body of a failed or rejected job.
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

// invalidBody is the response body for invalid input, which was not run.
type invalidBody struct {
	State    string       `json:"state"`
	Findings finding.List `json:"findings"`
}

func jsonResponse(status int, body any) Response {
	raw, err := json.Marshal(body)
	if err != nil {
		return Response{
			Status:      http.StatusInternalServerError,
			ContentType: contentTypeJSON,
			Body:        []byte(`{"state":"failed","ran":"maybe","reason":"malformed"}`),
		}
	}
	return Response{
		Status:      status,
		ContentType: contentTypeJSON,
		Body:        append(raw, '\n'),
	}
}

// invalidResponse reports invalid input with its findings.
func invalidResponse(status int, err error) Response {
	findings := finding.List{{Text: err.Error()}}
	var list finding.List
	if errors.As(err, &list) {
		findings = list
	}
	return jsonResponse(status, invalidBody{
		State:    "invalid",
		Findings: findings,
	})
}

// outcomeResponse converts a job's outcome to a response.
func outcomeResponse(o job.Outcome) Response {
	if !o.Complete {
		return failedResponse(o)
	}
	body := completeBody{
		State:   "complete",
		Answers: make([]json.RawMessage, 0, len(o.Answers)),
	}
	for _, a := range o.Answers {
		body.Answers = append(body.Answers, answerJSON(a.Body))
	}
	return jsonResponse(http.StatusOK, body)
}

// answerJSON returns JSON unchanged, other text as a JSON string, and binary data in base64.
func answerJSON(raw []byte) json.RawMessage {
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

func failedResponse(o job.Outcome) Response {
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
	r := jsonResponse(httpStatus(o), body)
	r.RetryAfter = o.RetryAfter
	if r.RetryAfter == 0 && isRetryable(o.Reason) {
		r.RetryAfter = defaultRetryAfter
	}
	return r
}

// defaultRetryAfter is sent if the outcome has no better estimate.
const defaultRetryAfter = time.Second

func isRetryable(reason core.Reason) bool {
	switch reason {
	case core.ReasonDraining, core.ReasonOverload, core.ReasonWait, core.ReasonQuota, core.ReasonStore, core.ReasonUnreachable,
		core.ReasonEvacuated, core.ReasonMemory:
		return true
	}
	return false
}

func httpStatus(o job.Outcome) int {
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
	if isRetryable(o.Reason) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// rawResponse converts a single request's outcome to the backend server's own response.
func rawResponse(o job.Outcome) Response {
	if !o.Complete {
		return failedResponse(o)
	}
	a := o.Answers[0]
	return Response{
		Status:      a.Status,
		ContentType: a.ContentType,
		Body:        a.Body,
	}
}

// stateBody is the response body for a ticket without an outcome.
type stateBody struct {
	State string `json:"state"`
}

func runningResponse() Response {
	return jsonResponse(http.StatusAccepted, stateBody{State: "running"})
}

func unusedResponse() Response { return jsonResponse(http.StatusNotFound, stateBody{State: "unused"}) }
