package standin

import (
	"net"
	"net/netip"
)

type netConn = net.Conn

// MustAddr parses an address that a stand-in returned. It panics if the address is invalid.
func MustAddr(s string) netip.AddrPort {
	return netip.MustParseAddrPort(s)
}
