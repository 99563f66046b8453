package locator

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/seeder"
)

// TestMain fixes the seed unless a flag sets one; -rapid.checks sets the number of runs.
func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 0))
}

// linearFind returns the site of the longest prefix that contains an address, by a linear scan.
func linearFind(blocks []Block, a netip.Addr) (site int, ok bool) {
	longest := -1
	for _, b := range blocks {
		if b.Prefix.Contains(a) && b.Prefix.Bits() > longest {
			longest, site, ok = b.Prefix.Bits(), b.Site, true
		}
	}
	return site, ok
}

// drawAddress draws from a small set that includes both ends of the address space, so that blocks
// often nest and touch.
func drawAddress(t *rapid.T, ipv6 bool) netip.Addr {
	n := rapid.Uint16().Draw(t, "address")
	if !ipv6 {
		return netip.AddrFrom4([4]byte{byte(n >> 12 * 17), byte(n >> 8), byte(n >> 4 & 0xf0), byte(n)})
	}
	var b [16]byte
	binary.BigEndian.PutUint16(b[:], n&0xf00f)
	binary.BigEndian.PutUint16(b[7:], n)
	return netip.AddrFrom16(b)
}

func TestFind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var blocks []Block
		seen := map[netip.Prefix]bool{}
		for i := range rapid.IntRange(0, 30).Draw(t, "blocks") {
			a := drawAddress(t, rapid.Bool().Draw(t, "six"))
			p := netip.PrefixFrom(a, rapid.IntRange(0, a.BitLen()).Draw(t, "bits")).Masked()
			if !seen[p] {
				seen[p] = true
				blocks = append(blocks, Block{Prefix: p, Site: i % 5})
			}
		}
		table, err := NewTable(blocks)
		if err != nil {
			t.Fatal(err)
		}
		probes := []netip.Addr{}
		for range 20 {
			probes = append(probes, drawAddress(t, rapid.Bool().Draw(t, "probe six")))
		}
		for _, b := range blocks {
			probes = append(probes, b.Prefix.Addr(), b.Prefix.Addr().Prev(), firstAfter(b.Prefix))
		}
		for _, a := range probes {
			if !a.IsValid() {
				continue
			}
			site, ok := table.Find(a)
			wantSite, want := linearFind(blocks, a)
			if ok != want || (ok && site != wantSite) {
				t.Fatalf("%v: %d %v, want %d %v of %v", a, site, ok, wantSite, want, blocks)
			}
		}
	})
}

func TestNewTableErrors(t *testing.T) {
	p := netip.MustParsePrefix("10.0.0.0/8")
	cases := map[string][]Block{
		"duplicate":         {{p, 1}, {netip.MustParsePrefix("10.1.0.0/8"), 2}},
		"no prefix":         {{netip.Prefix{}, 1}},
		"site out of range": {{p, MaxSites}},
		"negative site":     {{p, -1}},
	}
	for name, blocks := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := NewTable(blocks)
			is.New(t).True(err != nil)
		})
	}
}

// drawBlocks returns random IPv4 blocks of /20 to /28 with random sites.
func drawBlocks(count, sites int) []Block {
	r := rand.New(rand.NewPCG(1, 1))
	known, out := map[netip.Prefix]bool{}, []Block{}
	for len(out) < count {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], r.Uint32())
		p := netip.PrefixFrom(netip.AddrFrom4(b), 20+r.IntN(9)).Masked()
		if !known[p] {
			known[p] = true
			out = append(out, Block{p, r.IntN(sites)})
		}
	}
	return out
}

// BenchmarkFind measures a lookup by the number of blocks, with 1,500 sites, and the table's bytes
// per block.
func BenchmarkFind(b *testing.B) {
	for _, count := range []int{1000, 10_000, 100_000, 340_000} {
		blocks := drawBlocks(count, 1500)
		table, err := NewTable(blocks)
		if err != nil {
			b.Fatal(err)
		}
		r := rand.New(rand.NewPCG(1, 2))
		addresses := make([]netip.Addr, 1<<16)
		for i := range addresses {
			addresses[i] = blocks[r.IntN(count)].Prefix.Addr()
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := table.Find(addresses[i%len(addresses)]); !ok {
					b.Fatal("not found")
				}
			}
			size := len(table.v4)*int(unsafe.Sizeof(rangeV4{})) + len(table.v6)*int(unsafe.Sizeof(rangeV6{}))
			b.ReportMetric(float64(size)/float64(count), "bytes/block")
		})
	}
}

// BenchmarkNewTable measures the compilation of 340,000 blocks, which each change requires.
func BenchmarkNewTable(b *testing.B) {
	blocks := drawBlocks(340_000, 1500)
	for b.Loop() {
		if _, err := NewTable(blocks); err != nil {
			b.Fatal(err)
		}
	}
}
