package starter

import (
	"net/netip"
	"strings"

	"github.com/filberthoist/filberthoist/core/loader"
)

// ReadZones reads the section [regions] and returns a map from availability zones to regions.
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

// ReadAddresses reads the list of addresses under the key addresses. If the key port is set, it
// replaces their ports, for lists that give the addresses of another listener on the same VMs.
func ReadAddresses(r *loader.Reader) []string {
	list := r.Addresses("addresses")
	port := r.Int("port", 0, 1, 65535)
	if port == 0 {
		return list
	}
	for i, a := range list {
		if p, err := netip.ParseAddrPort(a); err == nil { // invalid ones are reported already
			list[i] = netip.AddrPortFrom(p.Addr(), uint16(port)).String()
		}
	}
	return list
}
