package emulator

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"weldscale/decide"
)

// This file owns the checker of the four rules. It reads an event log and the script, and nothing else of a world: what
// it finds can't be hidden by what the model believes.

// Findings are the rules that a log breaks, each with its line, at most maxFindings.
type Violations []string

const maxFindings = 100

// slack is how late an answer may be: a time-out and the answer to it fall on ticks of their own.
const slack Time = 50e3

type checkedRequest struct {
	class    int
	giveUp   Time
	answers  int
	crashed  bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	at     Time
	over   bool
	ranNot bool // proved not to have run
}

// Check reads a log to its end.
func Check(s *Script, log io.Reader) (Violations, error) {
	c := &checker{s: s, open: map[string]*checkedRequest{}, told: map[[2]int]Time{}}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if err := c.line(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	for id, q := range c.open { // only counted: their order does not show
		if q.answers == 0 && !q.crashed {
			c.unanswered++
			c.example = max(c.example, id)
		}
	}
	if c.unanswered > 0 {
		c.found(fmt.Sprintf("no request lost: %d requests without an answer, %s for one", c.unanswered, c.example))
	}
	return c.out, nil
}

type checker struct {
	s          *Script
	open       map[string]*checkedRequest
	told       map[[2]int]Time // of node and box: when it was told that it drains or is gone
	out        Violations
	unanswered int
	example    string
}

func (c *checker) found(text string) {
	if len(c.out) < maxFindings {
		c.out = append(c.out, text)
	}
}

// line takes in one line of the log.
func (c *checker) line(text string) error {
	words := strings.Fields(text)
	if len(words) < 2 {
		return fmt.Errorf("event log: %q is no line of it", text)
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
		q := &checkedRequest{giveUp: Time(value("give_up"))}
		for i, class := range c.s.Classes {
			if words[3] == "class="+class.Name {
				q.class = i
			}
		}
		c.open[words[2]] = q
	case "answer":
		q := c.open[words[2]]
		if q == nil {
			c.found("no request lost: an answer to none: " + text)
			return nil
		}
		q.answers++
		q.crashed = words[3] == "crashed"
		if q.answers > 1 {
			c.found("no request lost: a second answer: " + text)
		}
		if at > q.giveUp+slack && !q.crashed {
			c.found("no request lost: an answer after the client's time: " + text)
		}
		defer c.close(words[2])
		if class := c.s.Classes[q.class]; words[3] == "refused" && class.Terms.Effect == decide.Unsafe {
			for _, a := range q.attempts {
				if !a.ranNot {
					c.found("no effect twice: refused though it may have run: " + text)
				}
			}
		}
	case "push":
		c.push(words, text, at, value)
	case "outcome":
		id, n := attemptOf(words[2])
		if q := c.open[id]; q != nil && n < len(q.attempts) {
			q.attempts[n].over = true
			q.attempts[n].ranNot = words[3] == "full" || words[3] == "connect_failed" || words[3] == "moot"
			c.close(id)
		}
	case "told":
		at2 := [2]int{value("node"), value("box")}
		if value("state") == int(decide.Ready) {
			delete(c.told, at2)
		} else if _, known := c.told[at2]; !known {
			c.told[at2] = at
		}
	case "node_up": // it begins with the list as it stands
		for k := range c.told {
			if k[0] == value("node") {
				delete(c.told, k)
			}
		}
	case "fall":
		c.found("cold workers spared: " + text)
	}
	return nil
}

// close forgets a request that has its answer and nothing out: a log may be long.
func (c *checker) close(id string) {
	q := c.open[id]
	if q.answers == 0 {
		return
	}
	for _, a := range q.attempts {
		if !a.over && !q.crashed {
			return
		}
	}
	delete(c.open, id)
}

func attemptOf(word string) (id string, n int) {
	id, text, _ := strings.Cut(word, ".")
	n, _ = strconv.Atoi(text)
	return id, n
}

func (c *checker) push(words []string, text string, at Time, value func(string) int) {
	id, n := attemptOf(words[2])
	q := c.open[id]
	if q == nil || q.answers > 0 {
		c.found("no request lost: a push for a request that is over: " + text)
		return
	}
	if n != len(q.attempts) {
		c.found("no effect twice: attempts are not numbered in order: " + text)
	}
	terms := c.s.Classes[q.class].Terms
	for _, a := range q.attempts {
		switch {
		case !a.over && !c.s.SecondCopies:
			c.found("no effect twice: two attempts out: " + text)
		case a.ranNot:
		case terms.Effect == decide.Unsafe:
			c.found("no effect twice: sent again though it may have run: " + text)
		case terms.Effect == decide.Keyed && at-a.at > terms.MemorySpan:
			c.found("no effect twice: sent again after the key was forgotten: " + text)
		}
	}
	if told, ok := c.told[[2]int{value("node"), value("box")}]; ok && at > told+c.s.DrainGrace {
		c.found("drains obeyed: " + text)
	}
	q.attempts = append(q.attempts, checkedAttempt{at: at})
}
