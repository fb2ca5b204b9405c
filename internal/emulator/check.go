package emulator

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"weldscale/decide"
)

// This file contains the checker of the four rules. It reads only an event log and the script, not the state of the
// simulation, so that an error in the model's state cannot hide a violation.

// Violations lists the rules that a log violates, each with the log line; at most maxViolations.
type Violations []string

const maxViolations = 100

// answerSlack is how long after the request's give-up time an answer is accepted: a timeout and the answer to it happen
// at separate ticks.
const answerSlack Time = 50e3

type checkedRequest struct {
	class    int
	giveUpAt Time
	answers  int
	crashed  bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	pushedAt Time
	ended    bool
	neverRan bool // the outcome proves that it did not run
}

// Check reads a log to its end and returns the violations of the rules.
func Check(s *Script, log io.Reader) (Violations, error) {
	c := &checker{script: s, requests: map[string]*checkedRequest{}, unavailableSince: map[[2]int]Time{}}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if err := c.readLine(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	for id, q := range c.requests { // map order does not matter: requests are counted, and the example is the largest ID
		if q.answers == 0 && !q.crashed {
			c.unanswered++
			c.exampleID = max(c.exampleID, id)
		}
	}
	if c.unanswered > 0 {
		c.addViolation(fmt.Sprintf("no request lost: %d requests without an answer, %s for one", c.unanswered, c.exampleID))
	}
	return c.violations, nil
}

type checker struct {
	script           *Script
	requests         map[string]*checkedRequest
	unavailableSince map[[2]int]Time // by node and box: when the node learned that the box drains or is gone
	violations       Violations
	unanswered       int
	exampleID        string
}

func (c *checker) addViolation(text string) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, text)
	}
}

// readLine processes one line of the log.
func (c *checker) readLine(text string) error {
	words := strings.Fields(text)
	if len(words) < 2 {
		return fmt.Errorf("event log: line %q has fewer than two words", text)
	}
	at, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil {
		return fmt.Errorf("event log: %q: %w", text, err)
	}
	value := func(name string) int {
		for _, w := range words[2:] {
			if v, ok := strings.CutPrefix(w, name+"="); ok {
				n, _ := strconv.Atoi(v)
				return n
			}
		}
		return -1
	}
	switch words[1] {
	case "arrive":
		request := &checkedRequest{giveUpAt: Time(value("give_up"))}
		for i, class := range c.script.Classes {
			if words[3] == "class="+class.Name {
				request.class = i
			}
		}
		c.requests[words[2]] = request
	case "answer":
		request := c.requests[words[2]]
		if request == nil {
			c.addViolation("no request lost: an answer to an unknown request: " + text)
			return nil
		}
		request.answers++
		request.crashed = words[3] == "crashed"
		if request.answers > 1 {
			c.addViolation("no request lost: a second answer: " + text)
		}
		if at > request.giveUpAt+answerSlack && !request.crashed {
			c.addViolation("no request lost: an answer after the client gave up: " + text)
		}
		defer c.removeIfDone(words[2])
		if class := c.script.Classes[request.class]; words[3] == "refused" && class.Terms.Effect == decide.Unsafe {
			for _, attempt := range request.attempts {
				if !attempt.neverRan {
					c.addViolation("no effect twice: refused though it may have run: " + text)
				}
			}
		}
	case "push":
		c.push(words, text, at, value)
	case "outcome":
		id, n := parseAttempt(words[2])
		if request := c.requests[id]; request != nil && n < len(request.attempts) {
			request.attempts[n].ended = true
			request.attempts[n].neverRan = words[3] == "full" || words[3] == "connect_failed" || words[3] == "moot"
			c.removeIfDone(id)
		}
	case "told":
		key := [2]int{value("node"), value("box")}
		if value("state") == int(decide.Ready) {
			delete(c.unavailableSince, key)
		} else if _, known := c.unavailableSince[key]; !known {
			c.unavailableSince[key] = at
		}
	case "node_up": // a restarted node starts with the current list
		for k := range c.unavailableSince {
			if k[0] == value("node") {
				delete(c.unavailableSince, k)
			}
		}
	case "fall":
		c.addViolation("cold workers spared: " + text)
	}
	return nil
}

// removeIfDone forgets a request that is answered and has no attempts in flight, to limit memory on long logs.
func (c *checker) removeIfDone(id string) {
	request := c.requests[id]
	if request.answers == 0 {
		return
	}
	for _, attempt := range request.attempts {
		if !attempt.ended && !request.crashed {
			return
		}
	}
	delete(c.requests, id)
}

// parseAttempt splits REQUEST.NUMBER.
func parseAttempt(word string) (id string, n int) {
	id, text, _ := strings.Cut(word, ".")
	n, _ = strconv.Atoi(text)
	return id, n
}

// push checks one push against the rules and records the attempt.
func (c *checker) push(words []string, text string, at Time, value func(string) int) {
	id, number := parseAttempt(words[2])
	request := c.requests[id]
	if request == nil || request.answers > 0 {
		c.addViolation("no request lost: a push for a request that is over: " + text)
		return
	}
	if number != len(request.attempts) {
		c.addViolation("no effect twice: attempts are not numbered in order: " + text)
	}
	terms := c.script.Classes[request.class].Terms
	for _, attempt := range request.attempts {
		switch {
		case !attempt.ended && !c.script.SecondCopies:
			c.addViolation("no effect twice: two attempts in flight: " + text)
		case attempt.neverRan:
		case terms.Effect == decide.Unsafe:
			c.addViolation("no effect twice: sent again though it may have run: " + text)
		case terms.Effect == decide.Keyed && at-attempt.pushedAt > terms.MemorySpan:
			c.addViolation("no effect twice: sent again after the key was forgotten: " + text)
		}
	}
	if since, ok := c.unavailableSince[[2]int{value("node"), value("box")}]; ok && at > since+c.script.DrainGrace {
		c.addViolation("drains obeyed: " + text)
	}
	request.attempts = append(request.attempts, checkedAttempt{pushedAt: at})
}
