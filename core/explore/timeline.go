package explore

import (
	"fmt"
	"strings"
	"time"

	"rosemarywalk/core/pool"
)

// Timeline returns what happens on a path, a line each.
func Timeline(start func(trace func(string)) World[Event], path []Event) []string {
	var lines []string
	w := start(func(line string) { lines = append(lines, line) })
	for _, e := range path {
		w.Apply(e)
	}
	if w.Broken() != "" {
		lines = append(lines, "broken: "+w.Broken())
	}
	return lines
}

// at prefixes a line with the time since the start.
func at(now time.Time, line string) string {
	return fmt.Sprintf("%4d ms  %s", now.Sub(time.Unix(1000, 0)).Milliseconds(), line)
}

func (w *PoolWorld) describe(e Event) string {
	server := w.servers[e.Server].id
	switch e.Kind {
	case Pass:
		return "a step of time passes"
	case Freeze:
		return "the home is frozen"
	case Arrive:
		return w.describeCall(e.Call) + " arrives"
	case Repeat:
		return w.describeCall(e.Call) + " arrives, and will again"
	case Answer:
		return w.describeCall(e.Call) + " is answered"
	case Odd:
		return w.describeCall(e.Call) + " is answered " + describeWay(e.Way)
	case Late:
		return "late, " + w.describeCall(e.Call) + " arrives"
	case Cut:
		return server + " is cut off from the home"
	case Mend:
		return server + " is reached again"
	case Finish:
		return "the run at " + server + " is done"
	case Die:
		return server + " dies"
	case Rise:
		return server + " is born anew"
	case Reset:
		return server + " is born anew, its clock starts at 0"
	case List:
		return "the entry of " + server + " shows where and since when it runs"
	case ListAhead:
		return "the entry of " + server + " shows a process that is still to start"
	case Move:
		return "the entry of " + server + " shows another server's address"
	case Release:
		return "the home is to release " + server
	case Replace:
		return "the home dies, another one takes the servers over"
	case Cancel:
		return "the caller cancels the job"
	}
	return ""
}

func (w *PoolWorld) describeCall(i uint8) string {
	return describeCmd(w.calls[i].cmd)
}

func describeWay(way Way) string {
	var ways []string
	for i, text := range []string{
		"without the run that is being stopped",
		"with the running tasks of its arrival",
		"with the ends of its arrival",
		"with a clock that reads too much",
		"with a clock that reads too little",
	} {
		if way&(1<<i) != 0 {
			ways = append(ways, text)
		}
	}
	return strings.Join(ways, ", ")
}

func describeCmd(cmd pool.Cmd) string {
	switch cmd := cmd.(type) {
	case pool.StartCmd:
		return fmt.Sprintf("start of run %d at %s, token %d, deadline %d", cmd.Task.Run, cmd.Server, cmd.Token, cmd.Deadline)
	case pool.StopCmd:
		return fmt.Sprintf("stop of run %d at %s, token %d", cmd.Run, cmd.Server, cmd.Token)
	case pool.PollCmd:
		return fmt.Sprintf("poll %d of %s, token %d, deadline %d", cmd.Serial, cmd.Server, cmd.Token, cmd.Deadline)
	case pool.EndCmd:
		return fmt.Sprintf("run %d at %q is %s by proof %s, %s", cmd.Task.Run, cmd.Server, cmd.End, cmd.Proof, cmd.Reason)
	case pool.LogCmd:
		return fmt.Sprintf("%s: %s, %s", cmd.Server, cmd.Event, cmd.Detail)
	case pool.CapacityChangedCmd, pool.LossCmd:
	}
	return ""
}

func (w *HomesWorld) describe(e Event) string {
	home := w.homes[e.Server].name
	switch e.Kind {
	case Pass:
		return "a step of time passes"
	case Arrive:
		f := w.frames[e.Call]
		if f.asked {
			return w.homes[f.to].name + " is asked for its jobs"
		}
		return fmt.Sprintf("%s gets %T, sent %s ago", w.homes[f.to].name, f.msg, w.now.Sub(f.sent).Round(time.Millisecond))
	case Finish:
		return "the run at " + home + " is done"
	case Cut:
		return "A and B are cut off from each other"
	case Mend:
		return "the cut ends"
	case Freeze:
		return home + " is frozen"
	case Wake:
		return home + " goes on"
	case Die:
		return home + " dies and is born anew"
	case Leave:
		return "the caller leaves"
	case Vanish:
		return "the caller leaves, and its entry doesn't see it"
	}
	return ""
}
