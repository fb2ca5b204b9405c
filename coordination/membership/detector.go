package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// DefaultMonitors is the number of monitors of each member. Few failures take down all three at once.
	DefaultMonitors = 3
	// DefaultInterval is the interval between heartbeats.
	DefaultInterval = time.Second
	// A monitor suspects and probes a member after suspectIntervals without a message, and declares it dead after
	// deadIntervals. Several probes are sent in between, so that lost datagrams alone do not cause a false positive.
	suspectIntervals = 2
	deadIntervals    = 5
	// After isolatedIntervals without a message from any member, this member considers itself isolated and does not judge the
	// others. It is well below deadIntervals, so that a partitioned member declares no other member dead.
	isolatedIntervals = 3
	// forgetIntervals is how long dead members are kept, so that an old notice does not add them again.
	forgetIntervals = 120
	// maxGossipNotices and maxAntiEntropyNotices bound the notices in one message, which must fit into one datagram. Gossip
	// notices are recent changes. Anti-entropy notices are taken from all records in rotation, so that a member that missed a
	// change receives it later.
	maxGossipNotices      = 6
	maxAntiEntropyNotices = 2
)

// Options configures a detector.
type Options struct {
	Self     Member
	Monitors int           // 0: DefaultMonitors
	Interval time.Duration // 0: DefaultInterval
}

// Detector is the failure detector of one member. It does no I/O and reads no clock: its inputs are ticks and messages, its
// outputs messages and states. It is not safe for concurrent use.
type Detector struct {
	options         Options
	incarnation     uint64
	records         map[string]*record
	gossip          gossipQueue
	lastTick        time.Time
	lastReceivedAt  time.Time // when the last message of any member arrived
	lastProbed      string    // the member last probed in the rotation over all members
	lastAntiEntropy string    // the member of the last anti-entropy notice

	stale       bool     // the live members changed since monitors and watched were computed
	monitors    []string // members that receive heartbeats of this one
	watched     []string // members that this one monitors
	liveMembers []Member // without this one, sorted by name
	names       []string // of all records, sorted
}

// record is what is known of another member.
type record struct {
	Notice
	silentSince   time.Time // when its last message arrived, or when its silence started to count
	lastMessageAt time.Time
	changedAt     time.Time
	unresponsive  bool // it did not answer a rotating probe, and is watched like the members that this one monitors
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

// LiveMembers returns the other members that are not known to be dead, sorted by name. The result must not be modified.
func (d *Detector) LiveMembers() []Member {
	d.refresh()
	return d.liveMembers
}

// Incarnation returns the incarnation of this member.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// StateOf returns the newest notice about a member, and whether the member is known.
func (d *Detector) StateOf(name string) (Notice, bool) {
	record, known := d.records[name]
	if !known {
		return Notice{}, false
	}
	return record.Notice, true
}

// AddMembers adds members that are known from another source. It does not change the state of known members.
func (d *Detector) AddMembers(now time.Time, members []Member) {
	for _, member := range members {
		if _, known := d.records[member.Name]; !known && member.Name != d.options.Self.Name {
			d.update(now, Notice{Member: member})
		}
	}
}

// Tick must be called once per interval. It returns the heartbeats to the monitors, the probes of silent members, and a probe
// of one member in rotation, dead or alive. The rotating probe lets members find each other again after a network partition,
// and detects the death of a member whose monitors died with it.
func (d *Detector) Tick(now time.Time) []Envelope {
	noneReceived := !d.lastReceivedAt.After(d.lastTick)
	d.watchUnresponsive(now)
	d.detectOwnPause(now)
	d.refresh()
	envelopes := d.checkWatched(now)
	d.removeDead(now)
	d.refresh()
	for _, name := range d.monitors {
		envelopes = append(envelopes, d.envelope(d.records[name].Member, false))
	}
	for _, name := range d.probeTargets(noneReceived) {
		envelopes = append(envelopes, d.envelope(d.records[name].Member, true))
	}
	return envelopes
}

// watchUnresponsive starts to watch the member of the last rotating probe if it has not replied.
func (d *Detector) watchUnresponsive(now time.Time) {
	probed := d.records[d.lastProbed]
	if probed == nil || probed.State != StateAlive || probed.unresponsive || probed.lastMessageAt.After(d.lastTick) {
		return
	}
	if slices.Contains(d.watched, d.lastProbed) {
		return
	}
	probed.unresponsive = true
	probed.silentSince = now
}

// probeTargets returns the next member in rotation. After an interval without any message it also returns the members whose
// messages arrived last: their replies show this member that it is not isolated.
func (d *Detector) probeTargets(noneReceived bool) []string {
	next := nextName(d.names, d.lastProbed)
	if next == "" {
		return nil
	}
	d.lastProbed = next
	if !noneReceived {
		return []string{next}
	}
	byLastMessage := slices.Clone(d.names)
	slices.SortStableFunc(byLastMessage, func(a, b string) int { return d.records[b].lastMessageAt.Compare(d.records[a].lastMessageAt) })
	targets := byLastMessage[:min(d.options.Monitors, len(byLastMessage))]
	if !slices.Contains(targets, next) {
		targets = append(targets, next)
	}
	return targets
}

// detectOwnPause starts a new incarnation if this process was paused for so long that it may have been declared dead. The time
// of the pause does not count as silence of other members.
func (d *Detector) detectOwnPause(now time.Time) {
	previous := d.lastTick
	d.lastTick = now
	if previous.IsZero() || now.Sub(previous) < suspectIntervals*d.options.Interval {
		return
	}
	d.incarnation++
	d.restartSilence(now)
}

// restartSilence restarts the silence of all members at now.
func (d *Detector) restartSilence(now time.Time) {
	for _, record := range d.records {
		record.silentSince = now
	}
}

// isolated reports whether no message has arrived for so long that this member itself is probably cut off. The silence of other
// members then says nothing about them.
func (d *Detector) isolated(now time.Time) bool {
	return d.lastReceivedAt.IsZero() || now.Sub(d.lastReceivedAt) >= isolatedIntervals*d.options.Interval
}

// checkWatched checks the silence of all watched members and returns the probes of the silent ones.
func (d *Detector) checkWatched(now time.Time) []Envelope {
	if d.isolated(now) {
		return nil
	}
	var probes []Envelope
	for _, name := range d.names {
		known := d.records[name]
		if !known.unresponsive && !slices.Contains(d.watched, name) {
			continue
		}
		if d.checkSilence(now, known) {
			probes = append(probes, d.envelope(known.Member, true))
		}
	}
	return probes
}

// checkSilence marks a watched member as suspect or dead according to its silence, and reports whether to probe it.
func (d *Detector) checkSilence(now time.Time, watched *record) bool {
	silence := now.Sub(watched.silentSince)
	switch {
	case silence >= deadIntervals*d.options.Interval:
		d.update(now, Notice{Member: watched.Member, Incarnation: watched.Incarnation, State: StateDead})
		return true
	case silence >= suspectIntervals*d.options.Interval:
		watched.State = StateSuspect
		return true
	default:
		return false
	}
}

// Receive handles a message and returns the messages to send in response.
func (d *Detector) Receive(now time.Time, message Message) []Envelope {
	if message.From.Name == d.options.Self.Name {
		return nil
	}
	if d.isolated(now) {
		d.restartSilence(now)
	}
	d.lastReceivedAt = now
	outdated := d.observeSender(now, message)
	refuted := false
	for _, notice := range message.Notices {
		refuted = d.applyNotice(now, notice) || refuted
	}
	var replies []Envelope
	if message.Ping || outdated || refuted {
		replies = append(replies, d.replyTo(message.From, outdated))
	}
	if !refuted {
		return replies
	}
	d.refresh()
	for _, name := range d.monitors {
		replies = append(replies, d.envelope(d.records[name].Member, false))
	}
	return replies
}

// replyTo returns a message to a sender. To a sender with an outdated incarnation it includes the notice about that sender.
func (d *Detector) replyTo(to Member, outdated bool) Envelope {
	reply := d.envelope(to, false)
	if outdated {
		reply.Message.Notices = append(reply.Message.Notices, d.records[to.Name].sharedNotice())
	}
	return reply
}

// observeSender records that the sender is alive. It reports whether the message is outdated: the sender is recorded as dead in
// this incarnation, or another run of it has reached a higher one. The sender must then refute the notice first.
func (d *Detector) observeSender(now time.Time, message Message) bool {
	received := Notice{Member: message.From, Incarnation: message.Incarnation}
	known := d.records[message.From.Name]
	switch {
	case known == nil || received.overrides(known.Notice):
		d.update(now, received)
		known = d.records[message.From.Name]
	case known.State == StateDead || received.Incarnation < known.Incarnation:
		known.lastMessageAt = now
		return true
	}
	known.State = StateAlive
	known.unresponsive = false
	known.silentSince = now
	known.lastMessageAt = now
	return false
}

// applyNotice stores a notice if it is newer than the known one. It reports whether the notice was about this member and had to
// be refuted.
func (d *Detector) applyNotice(now time.Time, notice Notice) bool {
	if notice.Member.Name == d.options.Self.Name {
		return d.refute(notice)
	}
	if notice.State == StateSuspect {
		return false // suspicion is local to the monitor
	}
	known := d.records[notice.Member.Name]
	switch {
	case known == nil || notice.overrides(known.Notice):
		d.update(now, notice)
	case known.overrides(notice):
		d.gossip.add(known.sharedNotice(), len(d.records)) // the sender has an outdated notice
	}
	return false
}

// refute handles a notice about this member. If the notice declares this incarnation dead, or carries a higher incarnation from
// an earlier run of this member, refute starts the incarnation after that of the notice and returns true.
func (d *Detector) refute(notice Notice) bool {
	wrong := notice.Incarnation > d.incarnation || (notice.Incarnation == d.incarnation && notice.State == StateDead)
	if wrong {
		d.incarnation = notice.Incarnation + 1
	}
	return wrong
}

// update replaces the notice about a member and queues it for gossip.
func (d *Detector) update(now time.Time, notice Notice) {
	known := d.records[notice.Member.Name]
	if known == nil {
		known = &record{silentSince: now}
		d.records[notice.Member.Name] = known
	}
	known.unresponsive = false
	died := notice.State == StateDead
	if died != (known.State == StateDead) {
		known.silentSince = now
		d.stale = true
	}
	if known.Member != notice.Member {
		d.stale = true
	}
	known.Notice = notice
	known.changedAt = now
	d.gossip.add(notice, len(d.records))
}

// removeDead removes the members that have been dead for longer than forgetIntervals.
func (d *Detector) removeDead(now time.Time) {
	for name, record := range d.records {
		if record.State == StateDead && now.Sub(record.changedAt) > forgetIntervals*d.options.Interval {
			delete(d.records, name)
			d.stale = true
		}
	}
}

// sharedNotice returns the notice as it is sent to others. A suspect is sent as alive, because suspicion is local to the
// monitor.
func (r *record) sharedNotice() Notice {
	notice := r.Notice
	if notice.State == StateSuspect {
		notice.State = StateAlive
	}
	return notice
}

// envelope returns a message to a member with gossip and anti-entropy notices.
func (d *Detector) envelope(to Member, ping bool) Envelope {
	notices := d.gossip.pick(maxGossipNotices)
	for range min(maxAntiEntropyNotices, len(d.names)) {
		d.lastAntiEntropy = nextName(d.names, d.lastAntiEntropy)
		if record := d.records[d.lastAntiEntropy]; record != nil {
			notices = append(notices, record.sharedNotice())
		}
	}
	if known := d.records[to.Name]; ping && known != nil && known.State == StateDead {
		notices = append(notices, known.Notice) // if the member is alive, it refutes this notice
	}
	return Envelope{To: to, Message: Message{From: d.options.Self, Incarnation: d.incarnation, Ping: ping, Notices: notices}}
}

// nextName returns the name after the given one in the sorted names, and the first name after the last.
func nextName(names []string, name string) string {
	if len(names) == 0 {
		return ""
	}
	index, found := slices.BinarySearch(names, name)
	if found {
		index++
	}
	return names[index%len(names)]
}

// refresh recomputes the live members and the monitoring relations after the members changed.
func (d *Detector) refresh() {
	if !d.stale {
		return
	}
	d.stale = false
	d.names = slices.Sorted(maps.Keys(d.records))
	d.liveMembers = nil
	liveNames := []string{d.options.Self.Name}
	for _, name := range d.names {
		if record := d.records[name]; record.State != StateDead {
			d.liveMembers = append(d.liveMembers, record.Member)
			liveNames = append(liveNames, name)
		}
	}
	d.monitors = Monitors(d.options.Self.Name, liveNames, d.options.Monitors)
	d.setWatched(liveNames)
}

// setWatched computes the members that this one monitors. The first of liveNames is this member itself.
func (d *Detector) setWatched(liveNames []string) {
	previouslyWatched := d.watched
	d.watched = nil
	for _, name := range liveNames[1:] {
		if !isMonitor(d.options.Self.Name, name, liveNames, d.options.Monitors) {
			continue
		}
		d.watched = append(d.watched, name)
		if !slices.Contains(previouslyWatched, name) {
			d.records[name].silentSince = d.lastTick // until now its heartbeats were sent to other monitors
		}
	}
}
