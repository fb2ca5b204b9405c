package fleetclient

import (
	"net/netip"
	"strings"
)

// compareAddresses orders IP:PORT addresses numerically. If one of the two is not an IP:PORT, it compares them as text.
func compareAddresses(a, b string) int {
	first, firstErr := netip.ParseAddrPort(a)
	second, secondErr := netip.ParseAddrPort(b)
	if firstErr != nil || secondErr != nil {
		return strings.Compare(a, b)
	}
	return first.Compare(second)
}
