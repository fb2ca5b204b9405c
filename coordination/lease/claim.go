package lease

import (
	"slices"
	"time"
)

// Claims returns the roles that this member should take now. A claim is returned once; it is due again when nothing has
// come of it within the bound of silence.
func (d *Participant) Claims(now time.Duration) []Claim {
	if d.leaving || !d.healthy || !slices.Contains(d.voters, d.self.Address) || !d.hearsMajority(now) {
		return nil
	}
	var claims []Claim
	for _, known := range d.sorted() {
		if d.due(now, known) {
			known.claimed = true
			known.claimedAt = now
			claims = append(claims, Claim{Key: known.key, Previous: known.record.Token})
		}
	}
	return claims
}

// hearsMajority reports whether more than half of the voters, this member included, were heard lately. Before that, every
// member of a group that starts would take itself for the only one.
func (d *Participant) hearsMajority(now time.Duration) bool {
	count := 1
	for _, address := range d.voters {
		other := d.peers[address]
		if address != d.self.Address && other != nil && now-other.heardAt < d.timing.Silence {
			count++
		}
	}
	return count > len(d.voters)/2
}

func (d *Participant) due(now time.Duration, known *role) bool {
	if !d.isVacant(now, known) {
		known.vacant = false
		return false
	}
	if !known.vacant {
		known.vacant = true
		known.vacantAt = now
	}
	if known.claimed && now-known.claimedAt < d.timing.Silence {
		return false
	}
	if Owner(known.key, d.candidates(now, known)) == d.self.Address {
		return true
	}
	// The owner did not take the role in time: it may see another group than this member does.
	return now-known.vacantAt >= 2*d.timing.Silence
}

// isVacant reports whether the role needs a new holder: it never had one, its holder gave it up or has started anew, or a
// majority of the voters has not heard it for the bound of silence.
func (d *Participant) isVacant(now time.Duration, known *role) bool {
	record := known.record
	if record.Token == 0 || known.released == record.Token {
		return true
	}
	if record.Holder == d.self {
		return false
	}
	if record.Holder.Address == d.self.Address {
		return true
	}
	if holder := d.peers[record.Holder.Address]; holder != nil && holder.life != record.Holder.Life {
		return true
	}
	if !d.silentHere(now, known) {
		return false
	}
	known.silent[d.self.Address] = now
	return d.majority(known.silent, func(saidAt time.Duration) bool { return now-saidAt < d.timing.Silence })
}

// candidates returns the voters that could take the role: live, healthy and not its silent holder.
func (d *Participant) candidates(now time.Duration, known *role) []string {
	var candidates []string
	for _, address := range d.voters {
		if address == d.self.Address {
			candidates = append(candidates, address)
			continue
		}
		other := d.peers[address]
		if other == nil || !other.healthy || now-other.heardAt >= d.timing.Silence {
			continue
		}
		if address == known.record.Holder.Address && other.life == known.record.Holder.Life {
			continue
		}
		candidates = append(candidates, address)
	}
	return candidates
}
