// Package locator maps client addresses to sites by longest prefix match, in a compiled table of
// address blocks.
package locator

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

// Block maps the addresses of a prefix to a site. If blocks overlap, the longest prefix applies.
type Block struct {
	Prefix netip.Prefix
	// Site is an index that the caller chooses, below MaxSites.
	Site int
}

// MaxSites is the number of sites that a Table can distinguish.
const MaxSites = math.MaxUint16

// noSite marks addresses that are in no block.
const noSite = math.MaxUint16

// Table maps addresses to sites. It is immutable and safe for concurrent use. A block takes at
// most two ranges, which is the case if it touches no other: 16 bytes for IPv4, 48 for IPv6.
type Table struct {
	v4 []rangeV4
	v6 []rangeV6
}

// rangeV4 maps the addresses from a start to the start of the next range to a site.
type rangeV4 struct {
	from uint32
	site uint16
}

// rangeV6 is the same for IPv6, with the upper and lower 64 bits of the start.
type rangeV6 struct {
	high uint64
	low  uint64
	site uint16
}

// NewTable compiles blocks. It returns an error for duplicate or invalid prefixes and for sites
// that are out of range.
func NewTable(blocks []Block) (*Table, error) {
	sorted := make([]Block, len(blocks))
	for i, b := range blocks {
		if !b.Prefix.IsValid() || b.Site < 0 || b.Site >= MaxSites {
			return nil, errors.Errorf("block %v: invalid prefix or site %d", b.Prefix, b.Site)
		}
		sorted[i] = Block{Prefix: b.Prefix.Masked(), Site: b.Site}
	}
	slices.SortFunc(sorted, compareBlocks)
	for i := 1; i < len(sorted); i++ {
		if sorted[i].Prefix == sorted[i-1].Prefix {
			return nil, errors.Errorf("duplicate block %v", sorted[i].Prefix)
		}
	}
	c := &compiler{table: &Table{}}
	for _, b := range sorted {
		c.addBlock(b)
	}
	c.closeBefore(netip.Addr{})
	c.table.v4, c.table.v6 = slices.Clip(c.table.v4), slices.Clip(c.table.v6)
	return c.table, nil
}

// Find returns the site of an address; ok is false if it is in no block.
func (t *Table) Find(a netip.Addr) (site int, ok bool) {
	a = a.Unmap()
	n := uint16(noSite)
	if a.Is4() {
		n = t.findV4(uint32Of(a))
	} else if a.IsValid() {
		n = t.findV6(uint64sOf(a))
	}
	return int(n), n != noSite
}

// Ranges returns the number of ranges of the compiled table.
func (t *Table) Ranges() int {
	return len(t.v4) + len(t.v6)
}

func (t *Table) findV4(n uint32) uint16 {
	low, high := 0, len(t.v4)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if t.v4[middle].from <= n {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return noSite
	}
	return t.v4[low-1].site
}

func (t *Table) findV6(h, l uint64) uint16 {
	low, high := 0, len(t.v6)
	for low < high {
		middle := int(uint(low+high) >> 1)
		r := t.v6[middle]
		if r.high < h || (r.high == h && r.low <= l) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return noSite
	}
	return t.v6[low-1].site
}

// compareBlocks orders blocks by address, and at the same address by prefix length, shortest first.
func compareBlocks(a, b Block) int {
	if c := a.Prefix.Addr().Compare(b.Prefix.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits())
}

// compiler turns nested blocks into ranges. It visits the blocks in their order and keeps a stack of
// those that contain the current address.
type compiler struct {
	table     *Table
	enclosing []Block
}

func (c *compiler) addBlock(b Block) {
	c.closeBefore(b.Prefix.Addr())
	c.enclosing = append(c.enclosing, b)
	c.startRange(b.Prefix.Addr(), uint16(b.Site))
}

// closeBefore pops the blocks that don't contain an address and starts the range after each; the
// zero address pops all.
func (c *compiler) closeBefore(a netip.Addr) {
	for len(c.enclosing) > 0 {
		last := c.enclosing[len(c.enclosing)-1]
		if a.IsValid() && last.Prefix.Contains(a) {
			return
		}
		c.enclosing = c.enclosing[:len(c.enclosing)-1]
		next := firstAfter(last.Prefix)
		if !next.IsValid() {
			continue
		}
		site := uint16(noSite)
		if n := len(c.enclosing); n > 0 {
			site = uint16(c.enclosing[n-1].Site)
		}
		c.startRange(next, site)
	}
}

// startRange appends a range. It replaces the last range if that is empty, and appends nothing if
// the last range continues with the same site.
func (c *compiler) startRange(a netip.Addr, site uint16) {
	t := c.table
	if a.Is4() {
		n := uint32Of(a)
		if k := len(t.v4); k > 0 && t.v4[k-1].from == n {
			t.v4 = t.v4[:k-1]
		}
		if k := len(t.v4); k == 0 || t.v4[k-1].site != site {
			t.v4 = append(t.v4, rangeV4{n, site})
		}
		return
	}
	h, l := uint64sOf(a)
	if k := len(t.v6); k > 0 && t.v6[k-1].high == h && t.v6[k-1].low == l {
		t.v6 = t.v6[:k-1]
	}
	if k := len(t.v6); k == 0 || t.v6[k-1].site != site {
		t.v6 = append(t.v6, rangeV6{h, l, site})
	}
}

// firstAfter returns the first address after a prefix, or the zero address if the prefix reaches
// the end of the address space.
func firstAfter(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for bit := p.Bits(); bit < len(b)*8; bit++ {
		b[bit/8] |= 1 << (7 - bit%8)
	}
	last, _ := netip.AddrFromSlice(b) // the slice has the length of an address
	return last.Next()
}

func uint32Of(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func uint64sOf(a netip.Addr) (high, low uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}
