package entry

import (
	"time"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/starter"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/limiter"
)

// defaultDrain bounds the wait for requests under way at shutdown.
const defaultDrain = 30 * time.Second

// maxDescriptors bounds what a system lets one process hold.
const maxDescriptors = 1 << 24

// Defaults of the budget of repeats.
const (
	defaultRepeatShare   = 0.1
	defaultRepeatReserve = 10
)

// Settings are those of one entry process.
type Settings struct {
	starter.Place
	// CallerAddress serves look-ups and requests.
	CallerAddress string
	// PeerAddress serves other entries.
	PeerAddress string
	// ReportAddress serves metrics, health and dumps.
	ReportAddress string
	// Descriptors is the number of descriptors that the process may hold; 0 if not stated.
	Descriptors int
	// Controls are the peer addresses of the control members.
	Controls []string
	// Platform is the address of the platform's list of VMs; empty for none.
	Platform string
	Drain    time.Duration
	// Leave bounds the time between the word to stop and the end of new connections.
	Leave time.Duration
	// Zones are the regions of the availability zones, for targets that are listed.
	Zones map[string]string
	// Roles tells that entries own accounts and dispatch pools; otherwise this entry admits
	// by its shares of teams' rates and chooses targets by itself.
	Roles bool
	// Lenient lets keyed requests pass with the last known state while control is out of reach.
	Lenient bool
	// Repeats bound the requests that are sent to a further target.
	Repeats balancer.BudgetConfig
	// Overdraft bounds what entries without owners of accounts admit beyond teams' limits.
	Overdraft limiter.Overdraft
	// LogRequests is the part of the served requests that get a line, from 0 to 1; all others do.
	LogRequests float64
	TLS         connector.Config
	LogLevel    string
}

// ReadSettings reads and checks settings; its error lists every fault.
func ReadSettings(s *loader.Settings) (Settings, error) {
	var out Settings
	out.readPlace(s)
	r := s.Section("control")
	out.Controls = starter.ReadAddresses(r)
	out.Lenient = r.Bool("lenient", false)
	r.Finish()
	out.Zones = starter.ReadZones(s)
	r = s.Section("roles")
	out.Roles = r.Bool("assign", true)
	r.Finish()
	r = s.Section("repeats")
	out.Repeats.Share = r.Float("share", defaultRepeatShare, 0, 1)
	out.Repeats.Reserve = r.Float("reserve", defaultRepeatReserve, 0, 1000)
	r.Finish()
	r = s.Section("requests")
	out.LogRequests = r.Float("logged", 0, 0, 1)
	r.Finish()
	r = s.Section("platform")
	if r.Optional("list", "") != "" {
		out.Platform = r.Address("list")
	}
	r.Finish()
	r = s.Section("shutdown")
	out.Drain = r.Duration("drain", defaultDrain, 0, 10*time.Minute)
	out.Leave = r.Duration("leave", time.Minute, 0, 10*time.Minute)
	r.Finish()
	out.LogLevel = starter.ReadLogLevel(s)
	out.TLS = connector.ReadConfig(s, map[string]string{"peer": out.PeerAddress, "report": out.ReportAddress})
	return out, s.Err()
}

// readPlace reads who the process is and where it listens.
func (t *Settings) readPlace(s *loader.Settings) {
	t.Place = starter.ReadPlace(s)
	r := s.Section("listen")
	t.CallerAddress = r.Address("callers")
	t.PeerAddress = r.Address("peer")
	t.ReportAddress = r.Address("report")
	t.Descriptors = r.Int("descriptors", 0, 0, maxDescriptors)
	r.Finish()
}
