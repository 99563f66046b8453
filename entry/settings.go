package entry

import (
	"time"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/core/starter"
	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/limiter"
)

// defaultDrain bounds the wait for running requests at shutdown.
const defaultDrain = 30 * time.Second

// Defaults of the retry budget.
const (
	defaultRetryShare   = 0.1
	defaultRetryReserve = 10
)

// Defaults of admission, and the bound of the fraction of its aim for which a request may be held.
const (
	defaultShort      = 0.85
	defaultLeastShare = 0.5
	defaultHoldShare  = 0.1
	maxHoldShare      = 0.125
)

// Settings are the settings of one entry process. Their names are the keys of the settings dump.
type Settings struct {
	starter.Place
	// CallerAddress is the address that serves lookups and requests.
	CallerAddress string
	// PeerAddress is the address that serves other entries.
	PeerAddress string
	// ReportAddress is the address that serves metrics, health and dumps.
	ReportAddress string
	// Limits are the memory and the file descriptors that the process may use.
	Limits reserver.Limits
	// Controls are the peer addresses of the control members.
	Controls []string
	// Platform is the address of the platform's list of VMs; empty if there is none.
	Platform string
	// Drain bounds the wait for running requests at shutdown.
	Drain time.Duration
	// Leave bounds the time for which new connections are accepted after the stop signal.
	Leave time.Duration
	// Zones maps availability zones to regions, for targets that the platform lists.
	Zones map[string]string
	// Roles selects the mode in which control assigns each team's rate to an owner entry and
	// each pool to a dispatcher; otherwise this entry admits by its shares of teams' rates and
	// picks targets itself.
	Roles bool
	// Lenient keeps admitting keyed requests by the last received view while control is
	// unreachable.
	Lenient bool
	// Repeats configures the retry budget, which bounds retries on further targets.
	Repeats balancer.BudgetConfig
	// Admits turns on admission, which decides on requests without roles while room is short.
	Admits    bool
	Admission admitter.Config
	// Overdraft bounds what this entry may admit beyond teams' limits without roles.
	Overdraft limiter.Overdraft
	// UsageWindow is the length of the windows in which usage is counted and reported to control; 0 if it
	// is not. The platform's build sets it.
	UsageWindow time.Duration
	// LogRequests is the fraction, from 0 to 1, of served requests that are logged. Refused,
	// failed and late requests are always logged.
	LogRequests float64
	TLS         connector.Config
	LogLevel    string
}

// ReadSettings reads and validates settings. Its error lists all problems.
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
	out.Repeats.Share = r.Float("share", defaultRetryShare, 0, 1)
	out.Repeats.Reserve = r.Float("reserve", defaultRetryReserve, 0, 1000)
	r.Finish()
	out.readAdmission(s)
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

// readPlace reads the identity and the listen addresses of the process.
func (t *Settings) readPlace(s *loader.Settings) {
	t.Place = starter.ReadPlace(s)
	r := s.Section("listen")
	t.CallerAddress = r.Address("callers")
	t.PeerAddress = r.Address("peer")
	t.ReportAddress = r.Address("report")
	t.Limits = reserver.ReadLimits(r)
	r.Finish()
}

func (t *Settings) readAdmission(s *loader.Settings) {
	r := s.Section("admission")
	t.Admits = r.Bool("enabled", false)
	t.Admission.Short = r.Float("short", defaultShort, 0, 1)
	t.Admission.LeastShare = r.Float("leastShare", defaultLeastShare, 0, 1)
	t.Admission.HoldShare = r.Float("hold", defaultHoldShare, 0, maxHoldShare)
	r.Finish()
}
