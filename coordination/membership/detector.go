package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// DefaultMonitors is the number of members that monitor one: all are lost at once in few troubles.
	DefaultMonitors = 3
	// DefaultInterval is the pace of heartbeats.
	DefaultInterval = time.Second
	// A monitor asks after suspectIntervals without a heartbeat, and declares a member dead after deadIntervals: between
	// them lie several questions, so that lost datagrams alone kill nobody.
	suspectIntervals = 2
	deadIntervals    = 5
	// isolatedIntervals without a word of anyone say that the silence of others may be this member's own. It lies far enough
	// before deadIntervals that a member behind a cut declares nobody dead.
	isolatedIntervals = 3
	// forgetIntervals is how long the dead are remembered, so that an old notice doesn't bring them back.
	forgetIntervals = 120
	// maxNews and maxRecalled bound the notices in one message, which has to fit into one datagram: what is new, and what is
	// held, in turn, so that a member that missed some news gets it later.
	maxNews     = 6
	maxRecalled = 2
)

// Options sets up a detector.
type Options struct {
	Self     Member
	Monitors int           // 0: DefaultMonitors
	Interval time.Duration // 0: DefaultInterval
}

// Detector decides who is alive. It is pure: ticks and messages come in, messages and states come out. It is not safe for use
// by several goroutines.
type Detector struct {
	options     Options
	incarnation uint64
	records     map[string]*record
	news        news
	lastTick    time.Time
	lastHeard   time.Time // the last message of anyone
	asked       string    // the member that was asked last in turn
	recalled    string    // the member that was recalled last in turn

	stale    bool     // the living members changed since monitors and watched were worked out
	monitors []string // members that get this one's heartbeats
	watched  []string // members whose heartbeats this one expects
	living   []Member // without this one, in order of their names
	names    []string // of all records, in order
}

// record is what is known of another member.
type record struct {
	Notice
	heard   time.Time // its last message, or when its silence began to count
	spoke   time.Time // its last message
	changed time.Time
	doubted bool // it left a question in turn without an answer, and is watched like those that this member monitors
}

// NewDetector returns a detector that knows only itself.
func NewDetector(options Options) *Detector {
	if options.Monitors == 0 {
		options.Monitors = DefaultMonitors
	}
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	return &Detector{options: options, records: map[string]*record{}}
}

// LiveMembers returns the other members that are thought to be alive, in order of their names. The result must not be changed.
func (d *Detector) LiveMembers() []Member {
	d.refresh()
	return d.living
}

// Incarnation returns the incarnation of this member.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// StateOf returns what is known of a member.
func (d *Detector) StateOf(name string) (Notice, bool) {
	record, known := d.records[name]
	if !known {
		return Notice{}, false
	}
	return record.Notice, true
}

// AddMembers adds members that were told of from outside. What is known of a member is not overridden.
func (d *Detector) AddMembers(now time.Time, members []Member) {
	for _, member := range members {
		if _, known := d.records[member.Name]; !known && member.Name != d.options.Self.Name {
			d.put(now, Notice{Member: member})
		}
	}
}

// Tick is to be called once an interval. It returns the heartbeats that are due, the questions to silent members, and one
// question to a member in turn, dead or alive. By it those parted by a cut find each other again, and the death of a member
// is noticed whose monitors died with it.
func (d *Detector) Tick(now time.Time) []Envelope {
	quiet := !d.lastHeard.After(d.lastTick)
	d.doubt(now)
	d.noticeOwnSilence(now)
	d.refresh()
	envelopes := d.judgeAll(now)
	d.forget(now)
	d.refresh()
	for _, name := range d.monitors {
		envelopes = append(envelopes, d.envelope(d.records[name].Member, false))
	}
	for _, name := range d.asks(quiet) {
		envelopes = append(envelopes, d.envelope(d.records[name].Member, true))
	}
	return envelopes
}

// doubt begins to watch the member that was asked in turn at the last tick, if it hasn't answered.
func (d *Detector) doubt(now time.Time) {
	asked := d.records[d.asked]
	if asked == nil || asked.State != StateAlive || asked.doubted || asked.spoke.After(d.lastTick) {
		return
	}
	if slices.Contains(d.watched, d.asked) {
		return
	}
	asked.doubted = true
	asked.heard = now
}

// asks returns the member that is to be asked in turn, and after an interval without a word those that spoke last: by their
// answers a member knows that it isn't cut off itself.
func (d *Detector) asks(quiet bool) []string {
	next := following(d.names, d.asked)
	if next == "" {
		return nil
	}
	d.asked = next
	if !quiet {
		return []string{next}
	}
	latest := slices.Clone(d.names)
	slices.SortStableFunc(latest, func(a, b string) int { return d.records[b].spoke.Compare(d.records[a].spoke) })
	asks := latest[:min(d.options.Monitors, len(latest))]
	if !slices.Contains(asks, next) {
		asks = append(asks, next)
	}
	return asks
}

// noticeOwnSilence begins a new incarnation if this process stood still for so long that it may count as dead, and blames
// nobody for the time that it has missed.
func (d *Detector) noticeOwnSilence(now time.Time) {
	previous := d.lastTick
	d.lastTick = now
	if previous.IsZero() || now.Sub(previous) < suspectIntervals*d.options.Interval {
		return
	}
	d.incarnation++
	d.pardon(now)
}

// pardon begins the silence of all anew.
func (d *Detector) pardon(now time.Time) {
	for _, record := range d.records {
		record.heard = now
	}
}

// isolated reports whether nobody was heard for so long that the silence of others says nothing about them.
func (d *Detector) isolated(now time.Time) bool {
	return d.lastHeard.IsZero() || now.Sub(d.lastHeard) >= isolatedIntervals*d.options.Interval
}

// judgeAll returns the questions to those that are silent.
func (d *Detector) judgeAll(now time.Time) []Envelope {
	if d.isolated(now) {
		return nil
	}
	var questions []Envelope
	for _, name := range d.names {
		known := d.records[name]
		if !known.doubted && !slices.Contains(d.watched, name) {
			continue
		}
		if d.judge(now, known) {
			questions = append(questions, d.envelope(known.Member, true))
		}
	}
	return questions
}

// judge looks at the silence of a member that this one monitors, and reports whether it is to be asked.
func (d *Detector) judge(now time.Time, watched *record) bool {
	silence := now.Sub(watched.heard)
	switch {
	case silence >= deadIntervals*d.options.Interval:
		d.put(now, Notice{Member: watched.Member, Incarnation: watched.Incarnation, State: StateDead})
		return true
	case silence >= suspectIntervals*d.options.Interval:
		watched.State = StateSuspect
		return true
	default:
		return false
	}
}

// Receive takes a message and returns the answers to it.
func (d *Detector) Receive(now time.Time, message Message) []Envelope {
	if message.From.Name == d.options.Self.Name {
		return nil
	}
	if d.isolated(now) {
		d.pardon(now)
	}
	d.lastHeard = now
	outdated := d.hear(now, message)
	refuted := false
	for _, notice := range message.Notices {
		refuted = d.take(now, notice) || refuted
	}
	var answers []Envelope
	if message.Ping || outdated || refuted {
		answers = append(answers, d.answer(message.From, outdated))
	}
	if !refuted {
		return answers
	}
	d.refresh()
	for _, name := range d.monitors {
		answers = append(answers, d.envelope(d.records[name].Member, false))
	}
	return answers
}

// answer returns a message to a sender, which tells one with an outdated incarnation what is known of it.
func (d *Detector) answer(to Member, outdated bool) Envelope {
	answer := d.envelope(to, false)
	if outdated {
		answer.Message.Notices = append(answer.Message.Notices, d.records[to.Name].told())
	}
	return answer
}

// hear notes that the sender lives. It reports whether the sender has to be told first that it counts as dead, or that
// another life of it has reached a higher incarnation.
func (d *Detector) hear(now time.Time, message Message) bool {
	heard := Notice{Member: message.From, Incarnation: message.Incarnation}
	known := d.records[message.From.Name]
	switch {
	case known == nil || heard.overrides(known.Notice):
		d.put(now, heard)
		known = d.records[message.From.Name]
	case known.State == StateDead || heard.Incarnation < known.Incarnation:
		known.spoke = now
		return true
	}
	known.State = StateAlive
	known.doubted = false
	known.heard = now
	known.spoke = now
	return false
}

// take adopts a notice if it is newer than what is known. It reports whether it was about this member and had to be refuted.
func (d *Detector) take(now time.Time, notice Notice) bool {
	if notice.Member.Name == d.options.Self.Name {
		return d.refute(notice)
	}
	if notice.State == StateSuspect {
		return false // suspicion is the monitor's own
	}
	known := d.records[notice.Member.Name]
	switch {
	case known == nil || notice.overrides(known.Notice):
		d.put(now, notice)
	case known.overrides(notice):
		d.news.add(known.told(), len(d.records)) // the sender lives in the past
	}
	return false
}

// refute begins the incarnation after the one that a notice tells of, if it says that this member is dead or is from an
// earlier life of it.
func (d *Detector) refute(notice Notice) bool {
	wrong := notice.Incarnation > d.incarnation || (notice.Incarnation == d.incarnation && notice.State == StateDead)
	if wrong {
		d.incarnation = notice.Incarnation + 1
	}
	return wrong
}

// put replaces what is known of a member and tells others.
func (d *Detector) put(now time.Time, notice Notice) {
	known := d.records[notice.Member.Name]
	if known == nil {
		known = &record{heard: now}
		d.records[notice.Member.Name] = known
	}
	known.doubted = false
	died := notice.State == StateDead
	if died != (known.State == StateDead) {
		known.heard = now
		d.stale = true
	}
	if known.Member != notice.Member {
		d.stale = true
	}
	known.Notice = notice
	known.changed = now
	d.news.add(notice, len(d.records))
}

// forget drops those that have been dead for long.
func (d *Detector) forget(now time.Time) {
	for name, record := range d.records {
		if record.State == StateDead && now.Sub(record.changed) > forgetIntervals*d.options.Interval {
			delete(d.records, name)
			d.stale = true
		}
	}
}

// told is the notice as others are told it: suspicion stays with the monitor.
func (r *record) told() Notice {
	notice := r.Notice
	if notice.State == StateSuspect {
		notice.State = StateAlive
	}
	return notice
}

func (d *Detector) envelope(to Member, ping bool) Envelope {
	notices := d.news.pick(maxNews)
	for range min(maxRecalled, len(d.names)) {
		d.recalled = following(d.names, d.recalled)
		if record := d.records[d.recalled]; record != nil {
			notices = append(notices, record.told())
		}
	}
	if known := d.records[to.Name]; ping && known != nil && known.State == StateDead {
		notices = append(notices, known.Notice) // should it live, it learns what is thought of it
	}
	return Envelope{To: to, Message: Message{From: d.options.Self, Incarnation: d.incarnation, Ping: ping, Notices: notices}}
}

// following returns the name after the given one in a circle of names, which are in order.
func following(names []string, name string) string {
	if len(names) == 0 {
		return ""
	}
	index, found := slices.BinarySearch(names, name)
	if found {
		index++
	}
	return names[index%len(names)]
}

// refresh works out anew who monitors whom after the members changed.
func (d *Detector) refresh() {
	if !d.stale {
		return
	}
	d.stale = false
	d.names = slices.Sorted(maps.Keys(d.records))
	d.living = nil
	living := []string{d.options.Self.Name}
	for _, name := range d.names {
		if record := d.records[name]; record.State != StateDead {
			d.living = append(d.living, record.Member)
			living = append(living, name)
		}
	}
	d.monitors = Monitors(d.options.Self.Name, living, d.options.Monitors)
	d.watch(living)
}

// watch works out whose heartbeats are to be expected among the living, whose first name is this member's own.
func (d *Detector) watch(living []string) {
	before := d.watched
	d.watched = nil
	for _, name := range living[1:] {
		if !isMonitor(d.options.Self.Name, name, living, d.options.Monitors) {
			continue
		}
		d.watched = append(d.watched, name)
		if !slices.Contains(before, name) {
			d.records[name].heard = d.lastTick // its heartbeats went elsewhere until now
		}
	}
}
