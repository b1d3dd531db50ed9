package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// jobOf returns the body of a job of one step that needn't be stored.
func jobOf(count int, each size, s spec) []byte {
	step := map[string]any{
		"count":       count,
		"cpu":         each.CPU,
		"mem_mb":      each.MemMB,
		"estimate_ms": s.work.Milliseconds(),
	}
	if s.requires != "" {
		step["requires"] = s.requires
	}
	raw, _ := json.Marshal(map[string]any{
		"task_spec":   s.text,
		"best_effort": true,
		"steps":       []any{step},
	})
	return raw
}

// attempt is a request of a client and what became of it.
type attempt struct {
	id     string
	method string
	front  string
	sent   time.Time
	ended  time.Time
	status int // 0 without a complete answer
	body   string
	err    error
}

// send sends a request about a job to a front over a connection of its own, and waits for the
// answer as long as it says.
func (f *fleet) send(h *front, method, id string, body []byte, wait time.Duration) attempt {
	a := attempt{
		id:     id,
		method: method,
		front:  h.name,
		sent:   time.Now(),
	}
	f.record.add("client sends %s %s to %s", method, id, h.name)
	a.status, a.body, a.err = exchange(h.entry, method, id, body, wait)
	a.ended = time.Now()
	if a.err != nil {
		f.record.add("client got no complete answer to %s %s from %s after %s: %v", method, id, h.name, a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
	} else {
		f.record.add("client got %d to %s %s from %s after %s: %s", a.status, method, id, h.name, a.ended.Sub(a.sent).Round(time.Millisecond), a.body)
	}
	return a
}

func exchange(address, method, id string, body []byte, wait time.Duration) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+address+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = vhost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Rosemarywalk-Deadline", fmt.Sprint(wait.Milliseconds()))
	client := http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   wait,
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", err
	}
	return answer.StatusCode, string(raw), nil
}
