package sim

import "time"

// Link holds the delays and fault probabilities of the messages from one machine to another.
type Link struct {
	MinDelay, MaxDelay time.Duration // bounds of the delay
	Loss               float64       // probability that a message is lost
	Duplicate          float64       // probability that a message is delivered twice
	DelaySpike         float64       // probability of an additional delay
	MaxDelaySpike      time.Duration // upper bound of the additional delay
}

// DefaultLink returns a link without loss or duplication. Its delay varies, so messages can still be reordered.
func DefaultLink() Link {
	return Link{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}
}

// Network transmits messages between machines.
type Network struct {
	world       *World
	defaultLink Link
	links       map[direction]Link
	cuts        map[direction]bool
}

// direction identifies the path from one machine to another.
type direction struct{ from, to string }

func newNetwork(world *World) *Network {
	return &Network{world: world, defaultLink: DefaultLink(), links: map[direction]Link{}, cuts: map[direction]bool{}}
}

// SetDefaultLink sets the link of all machine pairs for which SetLink was not called.
func (n *Network) SetDefaultLink(link Link) { n.defaultLink = link }

// SetLink sets the link from one machine to another. The opposite direction is not affected.
func (n *Network) SetLink(from, to string, link Link) { n.links[direction{from, to}] = link }

// Cut drops all messages from one machine to another, including those in transit that would arrive before Heal.
func (n *Network) Cut(from, to string) { n.cuts[direction{from, to}] = true }

// Heal ends the cut from one machine to another.
func (n *Network) Heal(from, to string) { delete(n.cuts, direction{from, to}) }

// Isolate cuts the paths between a machine and all others in both directions.
func (n *Network) Isolate(name string) {
	for _, other := range n.world.machines {
		if other.name != name {
			n.Cut(name, other.name)
			n.Cut(other.name, name)
		}
	}
}

// HealAll ends all cuts.
func (n *Network) HealAll() { clear(n.cuts) }

// IsCut reports whether the path from one machine to another is cut.
func (n *Network) IsCut(from, to string) bool { return n.cuts[direction{from, to}] }

// transmit calls deliver when a message arrives. A message may be lost or arrive twice, unless a machine sends it to itself.
// In that case it arrives without delay.
func (n *Network) transmit(from, to string, deliver func()) {
	if from == to {
		n.world.After(0, deliver)
		return
	}
	path := direction{from, to}
	link, configured := n.links[path]
	if !configured {
		link = n.defaultLink
	}
	if n.cuts[path] || n.world.Chance(link.Loss) {
		return
	}
	copies := 1
	if n.world.Chance(link.Duplicate) {
		copies = 2
	}
	for range copies {
		delay := n.world.Between(link.MinDelay, link.MaxDelay)
		if n.world.Chance(link.DelaySpike) {
			delay += n.world.Between(0, link.MaxDelaySpike)
		}
		n.world.After(delay, func() {
			if !n.cuts[path] {
				deliver()
			}
		})
	}
}
