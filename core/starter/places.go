package starter

import (
	"net/netip"
	"strings"

	"github.com/filberthoist/filberthoist/core/loader"
)

// ReadZones reads the section [regions]: the availability zones, each with its region.
func ReadZones(s *loader.Settings) map[string]string {
	r := s.Section("regions")
	defer r.Finish()
	out := map[string]string{}
	for _, item := range r.List("availabilityZones") {
		zone, region, ok := strings.Cut(item, " ")
		if !ok {
			r.Fail("availabilityZones", "%q is not an availability zone and its region, such as cairo1 cairo", item)
			continue
		}
		out[zone] = strings.TrimSpace(region)
	}
	return out
}

// ReadAddresses reads a list of addresses. A key port replaces their ports, for lists that
// name another listener of the same VMs.
func ReadAddresses(r *loader.Reader) []string {
	list := r.Addresses("addresses")
	port := r.Int("port", 0, 1, 65535)
	if port == 0 {
		return list
	}
	for i, a := range list {
		if p, err := netip.ParseAddrPort(a); err == nil { // others are noted already
			list[i] = netip.AddrPortFrom(p.Addr(), uint16(port)).String()
		}
	}
	return list
}
