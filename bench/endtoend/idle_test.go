package endtoend

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// idleTime is how long an idle deployment is measured.
const idleTime = 8 * time.Second

// ticksPerSecond is the number of clock ticks per second of processor time in /proc.
const ticksPerSecond = 100

// BenchmarkIdle measures the cost of a deployment without requests: processor time and memory
// per entry and of the leader, and the traffic to control. Run it with -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	for _, entries := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprintf("%d entries", entries), func(b *testing.B) {
			d := newDeployment(b, entries)
			leader := d.controls[d.leader()]
			entryStart, leaderStart, bytesStart := d.entryTicks(), leader.cpuTicks(), d.relayBytes()
			for b.Loop() {
				time.Sleep(idleTime)
			}
			seconds := idleTime.Seconds()
			perEntry := float64(d.entryTicks()-entryStart) / ticksPerSecond / seconds / float64(entries)
			b.ReportMetric(100*perEntry, "%core/entry")
			b.ReportMetric(100*float64(leader.cpuTicks()-leaderStart)/ticksPerSecond/seconds, "%core-leader")
			b.ReportMetric(float64(d.entries[0].residentBytes())/(1<<20), "MB/entry")
			b.ReportMetric(float64(leader.residentBytes())/(1<<20), "MB-leader")
			b.ReportMetric(float64(d.relayBytes()-bytesStart)/seconds/1000, "kB/s-all")
		})
	}
}

func (d *deployment) entryTicks() int {
	n := 0
	for _, p := range d.entries {
		n += p.cpuTicks()
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

// cpuTicks returns the processor time that a process has used, in clock ticks.
func (p *process) cpuTicks() int {
	fields := p.procFields("stat")
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return user + system
}

// residentBytes returns the resident memory of a process.
func (p *process) residentBytes() int {
	pages, _ := strconv.Atoi(p.procFields("statm")[1])
	return pages * os.Getpagesize()
}

func (p *process) procFields(file string) []string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, file))
	if err != nil {
		p.t.Fatal(err)
	}
	return strings.Fields(string(b))
}
