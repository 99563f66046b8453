// Package locator finds the site of a client by its address, in a compiled table of blocks.
package locator

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

// Block gives the clients of a prefix to a site. Of blocks that overlap the longer prefix
// counts.
type Block struct {
	Prefix netip.Prefix
	// Site is the caller's number of a site, below MaxSites.
	Site int
}

// MaxSites is the number of sites that a Table tells apart.
const MaxSites = math.MaxUint16

// noSite marks addresses of no block.
const noSite = math.MaxUint16

// Table answers which site an address belongs to. It never changes, and is safe for
// concurrent use. A block costs at most two ranges: 12 bytes each for IPv4, 36 for IPv6 in
// the worst case of blocks that touch no other.
type Table struct {
	v4 []rangeV4
	v6 []rangeV6
}

// rangeV4 holds the site from an address to the next range's.
type rangeV4 struct {
	from uint32
	site uint16
}

type rangeV6 struct {
	high uint64
	low  uint64
	site uint16
}

// NewTable compiles blocks. It refuses the same prefix twice, and sites out of range.
func NewTable(blocks []Block) (*Table, error) {
	sorted := make([]Block, len(blocks))
	for i, b := range blocks {
		if !b.Prefix.IsValid() || b.Site < 0 || b.Site >= MaxSites {
			return nil, errors.Errorf("block %v: bad prefix or site %d", b.Prefix, b.Site)
		}
		sorted[i] = Block{Prefix: b.Prefix.Masked(), Site: b.Site}
	}
	slices.SortFunc(sorted, compareBlocks)
	for i := 1; i < len(sorted); i++ {
		if sorted[i].Prefix == sorted[i-1].Prefix {
			return nil, errors.Errorf("block %v stands twice", sorted[i].Prefix)
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

// Ranges returns the number of ranges that the blocks were compiled into.
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

// compareBlocks orders blocks by address, and those of one address by the shorter prefix first.
func compareBlocks(a, b Block) int {
	if c := a.Prefix.Addr().Compare(b.Prefix.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits())
}

// compiler turns nested blocks into ranges, with the blocks open at the present address.
type compiler struct {
	table     *Table
	enclosing []Block
}

func (c *compiler) addBlock(b Block) {
	c.closeBefore(b.Prefix.Addr())
	c.enclosing = append(c.enclosing, b)
	c.startRange(b.Prefix.Addr(), uint16(b.Site))
}

// closeBefore ends the open blocks that do not hold an address; the zero one ends them all.
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

// startRange starts a range; one that is empty gives way to it, and one that goes on is kept.
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

// firstAfter returns the first address behind a prefix, or the zero one at the end.
func firstAfter(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for bit := p.Bits(); bit < len(b)*8; bit++ {
		b[bit/8] |= 1 << (7 - bit%8)
	}
	last, _ := netip.AddrFromSlice(b) // as long as it was
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
