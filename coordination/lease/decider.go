package lease

import (
	"slices"
	"time"
)

// Participant is one member's part in all roles. It is not safe for use by several goroutines.
type Participant struct {
	self    Member
	timing  Timing
	voters  []string // addresses
	group   uint64   // names the set of voters
	inDoubt bool     // the set of voters may be another by now
	voter   voter
	roles   map[string]*role
	peers   map[string]*peer // by address
	healthy bool
	leaving bool
}

// role is what a member knows of one role.
type role struct {
	key       string
	record    Record
	released  uint64 // token that its holder gave up
	lastSign  time.Duration
	vacantAt  time.Duration
	vacant    bool
	claimedAt time.Duration
	claimed   bool
	// grants holds for each voter when the ask that it granted under the record's token was sent.
	grants map[string]time.Duration
	// silent holds for each voter when it said that the holder under the record's token is silent.
	silent map[string]time.Duration
}

type peer struct {
	life    string
	healthy bool
	heardAt time.Duration
}

// New returns the decider of a member. Fresh tells that the whole group starts for the first time, so that there can be no
// grants of a former life.
func New(self Member, keys []string, timing Timing, now time.Duration, fresh bool) *Participant {
	mutedTil := now + timing.Grant
	if fresh {
		mutedTil = now
	}
	roles := make(map[string]*role, len(keys))
	for _, key := range keys {
		roles[key] = newRole(key, now)
	}
	return &Participant{
		self:   self,
		timing: timing,
		voter:  newVoter(timing.Grant, mutedTil),
		roles:  roles,
		peers:  make(map[string]*peer),
	}
}

func newRole(key string, now time.Duration) *role {
	return &role{
		key:      key,
		lastSign: now,
		grants:   make(map[string]time.Duration),
		silent:   make(map[string]time.Duration),
	}
}

// Learn takes the newest state of the register: the addresses of its replicas, which are the voters, and the records. A
// record older than the known one is passed over.
func (d *Participant) Learn(now time.Duration, voters []string, records map[string]Record) {
	d.setVoters(now, voters)
	for key, record := range records {
		d.voter.saw(key, record.Token)
		if known, ok := d.roles[key]; ok && record.Token > known.record.Token {
			known.change(now, record)
		}
	}
}

func (d *Participant) setVoters(now time.Duration, voters []string) {
	d.voters = slices.Clone(voters)
	if len(voters) == 0 {
		return
	}
	group := groupOf(voters)
	if d.group != 0 && group != d.group {
		d.voter.regroup(now)
	}
	d.group = group
}

// SetVotersInDoubt tells whether this member's replica has accepted a value with other replicas than the newest one that is known to
// be chosen. While it has, this member grants nothing: the former voters may have no say any more. It has to be told before
// each Heartbeat and Receive.
func (d *Participant) SetVotersInDoubt(inDoubt bool) { d.inDoubt = inDoubt }

// MarkSynced tells that what was learned comes from a linearizable read of the register that began after the start of this
// member. Before it, this member grants nothing: it has forgotten which tokens it was asked for.
func (d *Participant) MarkSynced() { d.voter.synced = true }

func (r *role) change(now time.Duration, record Record) {
	r.record = record
	r.lastSign = now
	r.vacant = false
	r.claimed = false
	clear(r.grants)
	clear(r.silent)
}

// Heartbeat returns the message to be sent to every other member now. Healthy tells that this member hears a majority of
// the register's replicas.
func (d *Participant) Heartbeat(now time.Duration, healthy bool) Message {
	d.healthy = healthy
	message := Message{From: d.self, Healthy: healthy, Group: d.group}
	for _, known := range d.sorted() {
		if known.record.Token == 0 || known.record.Holder != d.self {
			continue
		}
		ask := RoleToken{Key: known.key, Token: known.record.Token}
		if known.released == ask.Token {
			message.Released = append(message.Released, ask)
			d.voter.release(now, ask)
			continue
		}
		message.Asks = append(message.Asks, ask)
		if d.grants(now, d.group, ask) {
			known.grants[d.self.Address] = now
		}
		if d.holds(now, known) {
			known.lastSign = now
			message.Holding = append(message.Holding, ask)
		}
	}
	return message
}

// Receive answers the heartbeat of another member.
func (d *Participant) Receive(now time.Duration, message Message) Reply {
	d.hear(now, message.From, message.Healthy)
	reply := Reply{From: d.self, Healthy: d.healthy}
	for _, released := range message.Released {
		d.voter.release(now, released)
		if known, ok := d.roles[released.Key]; ok {
			known.released = max(known.released, released.Token)
		}
	}
	for _, ask := range message.Asks {
		if d.grants(now, message.Group, ask) {
			reply.Granted = append(reply.Granted, ask)
		}
	}
	for _, held := range message.Holding {
		known, ok := d.roles[held.Key]
		if ok && known.record.Holder == message.From && known.record.Token == held.Token {
			known.lastSign = now
		}
	}
	reply.Silent = d.silentRoles(now)
	return reply
}

// HandleReply takes the reply to a message that was sent at sentAt and came at now.
func (d *Participant) HandleReply(sentAt, now time.Duration, reply Reply) {
	d.hear(now, reply.From, reply.Healthy)
	for _, granted := range reply.Granted {
		known, ok := d.roles[granted.Key]
		if ok && known.record.Token == granted.Token {
			known.grants[reply.From.Address] = max(known.grants[reply.From.Address], sentAt)
		}
	}
	for _, known := range d.roles {
		ask := RoleToken{Key: known.key, Token: known.record.Token}
		if slices.Contains(reply.Silent, ask) {
			known.silent[reply.From.Address] = now
		} else {
			delete(known.silent, reply.From.Address)
		}
	}
}

// Holds reports whether this member may act in a role now, and under which token. It must be asked again before each act.
func (d *Participant) Holds(now time.Duration, key string) (uint64, bool) {
	known, ok := d.roles[key]
	if !ok || !d.holds(now, known) {
		return 0, false
	}
	return known.record.Token, true
}

// RecordedToken reports whether the register names this member as the holder of a role, and under which token, as far as it knows.
// It does not allow to act: another may have been recorded since, and the grants of a former holder may still run. What is
// done under the token alone must be of no harm beside the work of another holder.
func (d *Participant) RecordedToken(key string) (uint64, bool) {
	known, ok := d.roles[key]
	if !ok || !d.recorded(known) {
		return 0, false
	}
	return known.record.Token, true
}

// ReleaseAll gives up all roles of this member for good; it takes none again. The next heartbeat tells the others.
func (d *Participant) ReleaseAll() {
	d.leaving = true
	for _, known := range d.roles {
		if known.record.Holder == d.self {
			known.released = known.record.Token
		}
	}
}

// ReleaseRole gives up one role that this member is recorded for under a token. Any member may take the role anew, this one too, under a
// higher token. The next heartbeat tells the others.
func (d *Participant) ReleaseRole(key string, token uint64) {
	known, ok := d.roles[key]
	if ok && d.recorded(known) && known.record.Token == token {
		known.released = token
	}
}

// Record returns what this member knows of a role.
func (d *Participant) Record(key string) Record {
	if known, ok := d.roles[key]; ok {
		return known.record
	}
	return Record{}
}

// LiveAddresses returns the addresses of the members that were heard within the bound of silence, this one included, in order.
func (d *Participant) LiveAddresses(now time.Duration) []string {
	live := []string{d.self.Address}
	for address, known := range d.peers {
		if address != d.self.Address && now-known.heardAt < d.timing.Silence {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// grants answers an ask as a voter. The asker counts this grant among those of the voters that it knows, so these must be the
// same that this member knows, itself among them.
func (d *Participant) grants(now time.Duration, group uint64, ask RoleToken) bool {
	agreed := group == d.group && !d.inDoubt && slices.Contains(d.voters, d.self.Address)
	return agreed && d.voter.ask(now, ask)
}

func (d *Participant) hear(now time.Duration, from Member, healthy bool) {
	known := d.peers[from.Address]
	if known == nil {
		known = &peer{}
		d.peers[from.Address] = known
	}
	known.life = from.Life
	known.healthy = healthy
	known.heardAt = now
}

func (d *Participant) recorded(known *role) bool {
	return known.record.Token != 0 && known.record.Holder == d.self && known.released != known.record.Token
}

func (d *Participant) holds(now time.Duration, known *role) bool {
	if !d.recorded(known) {
		return false
	}
	span := d.timing.Grant - d.timing.Margin
	return d.majority(known.grants, func(sentAt time.Duration) bool { return now < sentAt+span })
}

// majority reports whether more than half of the voters have an entry that counts.
func (d *Participant) majority(entries map[string]time.Duration, counts func(time.Duration) bool) bool {
	count := 0
	for _, address := range d.voters {
		if at, ok := entries[address]; ok && counts(at) {
			count++
		}
	}
	return count > len(d.voters)/2
}

func (d *Participant) silentRoles(now time.Duration) []RoleToken {
	var silent []RoleToken
	for _, known := range d.sorted() {
		if d.silentHere(now, known) {
			silent = append(silent, RoleToken{Key: known.key, Token: known.record.Token})
		}
	}
	return silent
}

func (d *Participant) silentHere(now time.Duration, known *role) bool {
	return now-known.lastSign >= d.timing.Silence
}

func (d *Participant) sorted() []*role {
	roles := make([]*role, 0, len(d.roles))
	for _, known := range d.roles {
		roles = append(roles, known)
	}
	slices.SortFunc(roles, func(a, b *role) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	return roles
}
