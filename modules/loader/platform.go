package loader

import "net/netip"

// Platform configures the services that the platform provides.
type Platform struct {
	// Store is the address of the key-value store.
	Store netip.AddrPort
	// VMList is the address of the service that lists VMs and backend servers.
	VMList netip.AddrPort
}

func (s *Platform) section() section {
	return section{
		"store":   address(&s.Store),
		"vm-list": address(&s.VMList),
	}
}
