package lease

import (
	"slices"
	"time"
)

// Claims returns the roles that this member should claim now. Each claim is returned once, and again if the role is still
// vacant after the silence timeout.
func (p *Participant) Claims(now time.Duration) []Claim {
	if p.leaving || !p.healthy || !slices.Contains(p.voters, p.self.Address) || !p.majorityIsLive(now) {
		return nil
	}
	var claims []Claim
	for _, role := range p.sortedRoles() {
		if p.claimIsDue(now, role) {
			role.claimed = true
			role.claimedAt = now
			claims = append(claims, Claim{Key: role.key, Previous: role.record.Token})
		}
	}
	return claims
}

// majorityIsLive reports whether messages of more than half of the voters, this member included, arrived within the silence
// timeout. Without this condition every member of a starting group would consider itself the only candidate.
func (p *Participant) majorityIsLive(now time.Duration) bool {
	count := 1
	for _, address := range p.voters {
		other := p.peers[address]
		if address != p.self.Address && other != nil && now-other.lastSeenAt < p.timing.SilenceTimeout {
			count++
		}
	}
	return count > len(p.voters)/2
}

// claimIsDue reports whether this member should claim a role now. It also updates since when the role is vacant.
func (p *Participant) claimIsDue(now time.Duration, role *roleState) bool {
	if !p.isVacant(now, role) {
		role.vacant = false
		return false
	}
	if !role.vacant {
		role.vacant = true
		role.vacantSince = now
	}
	if role.claimed && now-role.claimedAt < p.timing.SilenceTimeout {
		return false
	}
	if Owner(role.key, p.candidates(now, role)) == p.self.Address {
		return true
	}
	// The owner did not take the role in time. It may see a different set of live members.
	return now-role.vacantSince >= 2*p.timing.SilenceTimeout
}

// isVacant reports whether the role needs a new holder: it never had one, its holder released it or was restarted, or a
// majority of the voters report that the holder has been silent for the silence timeout.
func (p *Participant) isVacant(now time.Duration, role *roleState) bool {
	record := role.record
	if record.Token == 0 || role.releasedToken == record.Token {
		return true
	}
	if record.Holder == p.self {
		return false
	}
	if record.Holder.Address == p.self.Address {
		return true
	}
	if holder := p.peers[record.Holder.Address]; holder != nil && holder.incarnation != record.Holder.Life {
		return true
	}
	if !p.holderIsSilent(now, role) {
		return false
	}
	role.silenceReports[p.self.Address] = now
	return p.hasMajority(role.silenceReports, func(reportedAt time.Duration) bool {
		return now-reportedAt < p.timing.SilenceTimeout
	})
}

// candidates returns the voters that could take the role: those that are live and healthy, without its silent holder.
func (p *Participant) candidates(now time.Duration, role *roleState) []string {
	var candidates []string
	for _, address := range p.voters {
		if address == p.self.Address {
			candidates = append(candidates, address)
			continue
		}
		other := p.peers[address]
		if other == nil || !other.healthy || now-other.lastSeenAt >= p.timing.SilenceTimeout {
			continue
		}
		if address == role.record.Holder.Address && other.incarnation == role.record.Holder.Life {
			continue
		}
		candidates = append(candidates, address)
	}
	return candidates
}
