package directory

import (
	"net/netip"
	"strconv"
	"strings"
)

// isAddress reports whether s is a host and a port that a connection can be made to. An IPv6
// address must not have a zone, whose meaning differs between hosts.
func isAddress(s string) bool {
	colon := strings.LastIndexByte(s, ':')
	if colon < 0 || !isPort(s[colon+1:]) {
		return false
	}
	host := s[:colon]
	if inBrackets, isIPv6 := strings.CutPrefix(host, "["); isIPv6 {
		inBrackets, closed := strings.CutSuffix(inBrackets, "]")
		ip, err := netip.ParseAddr(inBrackets)
		return closed && err == nil && ip.Is6() && ip.Zone() == "" && isUnicast(ip)
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		return ip.Is4() && isUnicast(ip)
	}
	return isHostName(host)
}

// isPort reports whether s is a port in its shortest form, so that an address has one form.
func isPort(s string) bool {
	port, err := strconv.ParseUint(s, 10, 16)
	return err == nil && port > 0 && s[0] != '0'
}

func isUnicast(ip netip.Addr) bool {
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// isHostName reports whether s is a DNS name, with underscores allowed. The last label has a letter:
// otherwise the name is a malformed IPv4 address.
func isHostName(s string) bool {
	labels := strings.Split(strings.TrimSuffix(s, "."), ".")
	for _, label := range labels {
		if label == "" || label[0] == '-' || label[len(label)-1] == '-' || strings.ContainsFunc(label, isNoHostNameRune) {
			return false
		}
	}
	return strings.ContainsFunc(labels[len(labels)-1], func(r rune) bool { return r < '0' || r > '9' })
}

func isNoHostNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_'
}
