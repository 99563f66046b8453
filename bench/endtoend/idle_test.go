package endtoend

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// idleTime is how long an idle deployment is watched.
const idleTime = 8 * time.Second

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// BenchmarkIdle measures what control costs while nothing is requested: per entry, and on
// the leader. Run it with -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	for _, entries := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprintf("%d entries", entries), func(b *testing.B) {
			d := newDeployment(b, entries)
			leader := d.controls[d.leader()]
			own, lead, bytes := d.entryTicks(), leader.ticks(), d.relayBytes()
			for b.Loop() {
				time.Sleep(idleTime)
			}
			span := idleTime.Seconds()
			perEntry := float64(d.entryTicks()-own) / ticksPerSecond / span / float64(entries)
			b.ReportMetric(100*perEntry, "%core/entry")
			b.ReportMetric(100*float64(leader.ticks()-lead)/ticksPerSecond/span, "%core-leader")
			b.ReportMetric(float64(d.entries[0].resident())/(1<<20), "MB/entry")
			b.ReportMetric(float64(leader.resident())/(1<<20), "MB-leader")
			b.ReportMetric(float64(d.relayBytes()-bytes)/span/1000, "kB/s-all")
		})
	}
}

func (d *deployment) entryTicks() int {
	n := 0
	for _, p := range d.entries {
		n += p.ticks()
	}
	return n
}

func (d *deployment) relayBytes() int64 {
	n := int64(0)
	for _, r := range d.relays {
		n += r.BytesReceived()
	}
	return n
}

// ticks returns the processor time of a process so far.
func (p *process) ticks() int {
	fields := p.proc("stat")
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return user + system
}

// resident returns the memory of a process in bytes.
func (p *process) resident() int {
	pages, _ := strconv.Atoi(p.proc("statm")[1])
	return pages * os.Getpagesize()
}

func (p *process) proc(file string) []string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, file))
	if err != nil {
		p.t.Fatal(err)
	}
	return strings.Fields(string(b))
}
