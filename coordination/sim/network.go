package sim

import "time"

// Link tells what happens to the messages from one machine to another.
type Link struct {
	MinDelay, MaxDelay time.Duration // of the delay
	Loss               float64       // probability that a message is lost
	Duplicate          float64       // probability that it comes twice
	DelaySpike         float64       // probability that it is late
	MaxDelaySpike      time.Duration // the most that it is late by
}

// DefaultLink is a good link, on which messages overtake each other a little.
func DefaultLink() Link {
	return Link{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}
}

// Network carries messages between machines.
type Network struct {
	world *World
	usual Link
	links map[direction]Link
	cuts  map[direction]bool
}

type direction struct{ from, to string }

func newNetwork(world *World) *Network {
	return &Network{world: world, usual: DefaultLink(), links: map[direction]Link{}, cuts: map[direction]bool{}}
}

// SetDefaultLink sets the link of all pairs that have none of their own.
func (n *Network) SetDefaultLink(link Link) { n.usual = link }

// SetLink sets the link in one direction.
func (n *Network) SetLink(from, to string, link Link) { n.links[direction{from, to}] = link }

// Cut lets nothing more through in one direction. What is on its way is lost, too.
func (n *Network) Cut(from, to string) { n.cuts[direction{from, to}] = true }

// Heal ends a Cut.
func (n *Network) Heal(from, to string) { delete(n.cuts, direction{from, to}) }

// Isolate cuts all links of a machine in both directions.
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

// IsCut reports whether nothing gets through in a direction.
func (n *Network) IsCut(from, to string) bool { return n.cuts[direction{from, to}] }

// carry brings something to another machine, or doesn't. A machine reaches itself at once.
func (n *Network) carry(from, to string, arrive func()) {
	if from == to {
		n.world.After(0, arrive)
		return
	}
	way := direction{from, to}
	link, own := n.links[way]
	if !own {
		link = n.usual
	}
	if n.cuts[way] || n.world.Chance(link.Loss) {
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
			if !n.cuts[way] {
				arrive()
			}
		})
	}
}
