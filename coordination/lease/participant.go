package lease

import (
	"slices"
	"time"
)

// Participant is the protocol state of one member for all roles. It is not safe for concurrent use.
type Participant struct {
	self          Member
	timing        Timing
	voters        []string // addresses
	votersHash    uint64
	votersInDoubt bool // this member's replica has accepted a change of the voters that is not known to be chosen
	voter         voter
	roles         map[string]*roleState
	peers         map[string]*peer // by address
	healthy       bool
	leaving       bool
}

// roleState is what a member knows of one role.
type roleState struct {
	key           string
	record        Record
	releasedToken uint64        // highest token that its holder released
	holderSeenAt  time.Duration // when the recorded holder last reported a majority of grants, or was recorded
	vacantSince   time.Duration
	vacant        bool
	claimedAt     time.Duration
	claimed       bool
	// grants holds, by voter, when the request that the voter granted under the record's token was sent.
	grants map[string]time.Duration
	// silenceReports holds, by voter, when the voter reported the holder under the record's token as silent.
	silenceReports map[string]time.Duration
}

// peer is what a member knows of another one from its latest message.
type peer struct {
	incarnation string
	healthy     bool
	lastSeenAt  time.Duration
}

// New returns the participant of a member. NewGroup says that the whole group starts for the first time, so that no grants of
// a previous run can exist.
func New(self Member, keys []string, timing Timing, now time.Duration, newGroup bool) *Participant {
	mutedUntil := now + timing.GrantDuration
	if newGroup {
		mutedUntil = now
	}
	roles := make(map[string]*roleState, len(keys))
	for _, key := range keys {
		roles[key] = newRoleState(key, now)
	}
	return &Participant{
		self:   self,
		timing: timing,
		voter:  newVoter(timing.GrantDuration, mutedUntil),
		roles:  roles,
		peers:  make(map[string]*peer),
	}
}

func newRoleState(key string, now time.Duration) *roleState {
	return &roleState{
		key:            key,
		holderSeenAt:   now,
		grants:         make(map[string]time.Duration),
		silenceReports: make(map[string]time.Duration),
	}
}

// Learn takes over the newest known state of the register: the addresses of its replicas, which are the voters, and the
// records. A record that is not newer than the known one is ignored.
func (p *Participant) Learn(now time.Duration, voters []string, records map[string]Record) {
	p.setVoters(now, voters)
	for key, record := range records {
		p.voter.observeToken(key, record.Token)
		if role, ok := p.roles[key]; ok && record.Token > role.record.Token {
			role.setRecord(now, record)
		}
	}
}

func (p *Participant) setVoters(now time.Duration, voters []string) {
	p.voters = slices.Clone(voters)
	if len(voters) == 0 {
		return
	}
	votersHash := hashVoters(voters)
	if p.votersHash != 0 && votersHash != p.votersHash {
		p.voter.delayNewGrants(now)
	}
	p.votersHash = votersHash
}

// SetVotersInDoubt sets whether this member's replica has accepted a value with other replicas than the newest value that is
// known to be chosen. While that is so, this member grants nothing, because the voters it knows may have been replaced. It must
// be called before each Heartbeat and Receive.
func (p *Participant) SetVotersInDoubt(inDoubt bool) { p.votersInDoubt = inDoubt }

// MarkSynced declares that the learned state comes from a linearizable read of the register that began after this member
// started. Before that, this member grants nothing, because it no longer knows which tokens were requested from it.
func (p *Participant) MarkSynced() { p.voter.synced = true }

func (r *roleState) setRecord(now time.Duration, record Record) {
	r.record = record
	r.holderSeenAt = now
	r.vacant = false
	r.claimed = false
	clear(r.grants)
	clear(r.silenceReports)
}

// Heartbeat returns the message to send to every other member now. Healthy says that this member is in contact with a majority
// of the register's replicas.
func (p *Participant) Heartbeat(now time.Duration, healthy bool) Message {
	p.healthy = healthy
	message := Message{From: p.self, Healthy: healthy, Group: p.votersHash}
	for _, role := range p.sortedRoles() {
		if role.record.Token == 0 || role.record.Holder != p.self {
			continue
		}
		requested := RoleToken{Key: role.key, Token: role.record.Token}
		if role.releasedToken == requested.Token {
			message.Released = append(message.Released, requested)
			p.voter.release(now, requested)
			continue
		}
		message.Asks = append(message.Asks, requested)
		if p.tryGrant(now, p.votersHash, requested) {
			role.grants[p.self.Address] = now
		}
		if p.holds(now, role) {
			role.holderSeenAt = now
			message.Holding = append(message.Holding, requested)
		}
	}
	return message
}

// Receive handles the heartbeat of another member and returns the reply to it.
func (p *Participant) Receive(now time.Duration, message Message) Reply {
	p.observePeer(now, message.From, message.Healthy)
	reply := Reply{From: p.self, Healthy: p.healthy}
	for _, released := range message.Released {
		p.voter.release(now, released)
		if role, ok := p.roles[released.Key]; ok {
			role.releasedToken = max(role.releasedToken, released.Token)
		}
	}
	for _, requested := range message.Asks {
		if p.tryGrant(now, message.Group, requested) {
			reply.Granted = append(reply.Granted, requested)
		}
	}
	for _, held := range message.Holding {
		role, ok := p.roles[held.Key]
		if ok && role.record.Holder == message.From && role.record.Token == held.Token {
			role.holderSeenAt = now
		}
	}
	reply.Silent = p.silentRoles(now)
	return reply
}

// HandleReply handles the reply to a heartbeat that was sent at sentAt. The reply arrived at now.
func (p *Participant) HandleReply(sentAt, now time.Duration, reply Reply) {
	p.observePeer(now, reply.From, reply.Healthy)
	for _, granted := range reply.Granted {
		role, ok := p.roles[granted.Key]
		if ok && role.record.Token == granted.Token {
			role.grants[reply.From.Address] = max(role.grants[reply.From.Address], sentAt)
		}
	}
	for _, role := range p.roles {
		current := RoleToken{Key: role.key, Token: role.record.Token}
		if slices.Contains(reply.Silent, current) {
			role.silenceReports[reply.From.Address] = now
		} else {
			delete(role.silenceReports, reply.From.Address)
		}
	}
}

// Holds reports whether this member may act in a role now, and under which token. It must be called again before each action.
func (p *Participant) Holds(now time.Duration, key string) (uint64, bool) {
	role, ok := p.roles[key]
	if !ok || !p.holds(now, role) {
		return 0, false
	}
	return role.record.Token, true
}

// RecordedToken reports whether the newest known state of the register names this member as the holder of a role, and under
// which token. This does not permit the member to act in the role: another holder may have been recorded since, and the grants
// of a former holder may still be valid. Work that is done under the recorded token alone must be harmless if another holder
// works at the same time.
func (p *Participant) RecordedToken(key string) (uint64, bool) {
	role, ok := p.roles[key]
	if !ok || !p.isRecordedHolder(role) {
		return 0, false
	}
	return role.record.Token, true
}

// ReleaseAll gives up all roles of this member permanently; it claims no role afterwards. The next heartbeat announces the
// release to the other members.
func (p *Participant) ReleaseAll() {
	p.leaving = true
	for _, role := range p.roles {
		if role.record.Holder == p.self {
			role.releasedToken = role.record.Token
		}
	}
}

// ReleaseRole gives up one role of which this member is the recorded holder under the given token. Any member, this one
// included, may then take the role under a higher token. The next heartbeat announces the release to the other members.
func (p *Participant) ReleaseRole(key string, token uint64) {
	role, ok := p.roles[key]
	if ok && p.isRecordedHolder(role) && role.record.Token == token {
		role.releasedToken = token
	}
}

// Record returns the newest known record of a role.
func (p *Participant) Record(key string) Record {
	if role, ok := p.roles[key]; ok {
		return role.record
	}
	return Record{}
}

// LiveAddresses returns the sorted addresses of the members whose messages arrived within the silence timeout, this member
// included.
func (p *Participant) LiveAddresses(now time.Duration) []string {
	live := []string{p.self.Address}
	for address, other := range p.peers {
		if address != p.self.Address && now-other.lastSeenAt < p.timing.SilenceTimeout {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// tryGrant handles a grant request as a voter and reports whether the role is granted. The requester counts this grant towards
// a majority of the voters that it knows. Both sides must therefore know the same voters, and this member must be one of them.
func (p *Participant) tryGrant(now time.Duration, votersHash uint64, requested RoleToken) bool {
	agreed := votersHash == p.votersHash && !p.votersInDoubt && slices.Contains(p.voters, p.self.Address)
	return agreed && p.voter.tryGrant(now, requested)
}

func (p *Participant) observePeer(now time.Duration, from Member, healthy bool) {
	sender := p.peers[from.Address]
	if sender == nil {
		sender = &peer{}
		p.peers[from.Address] = sender
	}
	sender.incarnation = from.Life
	sender.healthy = healthy
	sender.lastSeenAt = now
}

func (p *Participant) isRecordedHolder(role *roleState) bool {
	return role.record.Token != 0 && role.record.Holder == p.self && role.releasedToken != role.record.Token
}

// holds reports whether this member is the recorded holder and has unexpired grants of a majority.
func (p *Participant) holds(now time.Duration, role *roleState) bool {
	if !p.isRecordedHolder(role) {
		return false
	}
	usable := p.timing.GrantDuration - p.timing.ExpiryMargin
	return p.hasMajority(role.grants, func(sentAt time.Duration) bool { return now < sentAt+usable })
}

// hasMajority reports whether more than half of the voters have an entry for which counts returns true.
func (p *Participant) hasMajority(entries map[string]time.Duration, counts func(time.Duration) bool) bool {
	count := 0
	for _, address := range p.voters {
		if at, ok := entries[address]; ok && counts(at) {
			count++
		}
	}
	return count > len(p.voters)/2
}

// silentRoles returns the roles whose recorded holder is silent for this member.
func (p *Participant) silentRoles(now time.Duration) []RoleToken {
	var silent []RoleToken
	for _, role := range p.sortedRoles() {
		if p.holderIsSilent(now, role) {
			silent = append(silent, RoleToken{Key: role.key, Token: role.record.Token})
		}
	}
	return silent
}

func (p *Participant) holderIsSilent(now time.Duration, role *roleState) bool {
	return now-role.holderSeenAt >= p.timing.SilenceTimeout
}

// sortedRoles returns the roles in the order of their keys, so that messages do not depend on the order of the map.
func (p *Participant) sortedRoles() []*roleState {
	roles := make([]*roleState, 0, len(p.roles))
	for _, role := range p.roles {
		roles = append(roles, role)
	}
	slices.SortFunc(roles, func(a, b *roleState) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	return roles
}
