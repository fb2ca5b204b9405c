package fleetclient

import (
	"net/netip"
	"strings"
)

// compareAddresses orders addresses by number, and what is none by text.
func compareAddresses(a, b string) int {
	first, firstErr := netip.ParseAddrPort(a)
	second, secondErr := netip.ParseAddrPort(b)
	if firstErr != nil || secondErr != nil {
		return strings.Compare(a, b)
	}
	return first.Compare(second)
}
