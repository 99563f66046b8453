package endtoend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/bench/faker"
	"github.com/filberthoist/filberthoist/bench/generator"
	"github.com/filberthoist/filberthoist/bench/relayer"
	"github.com/filberthoist/filberthoist/cli/commander"
	"github.com/filberthoist/filberthoist/core/digester"
)

// Bounds of waits in these tests. They end a hanging test and judge no speed.
const (
	settleLimit = 30 * time.Second
	poll        = 50 * time.Millisecond
)

var programs string

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "filberthoist")
	if err != nil {
		panic(err)
	}
	programs = folder
	for name, module := range map[string]string{"filberthoist-control": "control", "filberthoist-entry": "entry"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, name),
			"github.com/filberthoist/filberthoist/"+module+"/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// process is one running program.
type process struct {
	t        testing.TB
	name     string
	settings string
	log      *bytes.Buffer
	command  *exec.Cmd
	done     chan struct{}
	frozen   bool
}

// deployment is a whole system on loopback with fake upstreams in this process.
type deployment struct {
	security security
	t        testing.TB
	folder   string
	controls []*process
	entries  []*process
	// administration, peers and relays are addresses by control member.
	administration []string
	peers          []string
	relays         []*relayer.Relay
	callers        []string
	fakes          map[string]*faker.Fake
	text           text
}

// text is the operators' text in parts, so that tests can change one.
type text struct {
	revision int
	targets  []string
	keys     map[string]string
	limits   string
	more     string
}

const (
	goodKey  = "end-to-end-key"
	otherKey = "end-to-end-other"
)

// newDeployment starts everything on plain loopback.
func newDeployment(t testing.TB, entries int) *deployment {
	t.Helper()
	return newSecured(t, entries, security{})
}

// security is what a deployment uses beyond the defaults: sections of every process's
// settings, sections of control's, and flags of operators' commands.
type security struct {
	settings string
	control  string
	flags    []string
}

// newSecured starts everything and puts revision 1 in force.
func newSecured(t testing.TB, entries int, s security) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: t.TempDir(), fakes: map[string]*faker.Fake{}, security: s}
	d.text = text{revision: 1, keys: map[string]string{"good1": goodKey, "other1": otherKey}, limits: "lookupLifetime = 1s\n"}
	for i := range 4 {
		d.addFake(fmt.Sprintf("lamps%d", i), "lamps")
		d.addFake(fmt.Sprintf("billing%d", i), "billing")
	}
	d.addControls()
	for i := range entries {
		d.addEntry(i)
	}
	d.must("members", "bootstrap")
	d.apply()
	d.wait("every entry is live", func() bool {
		_, out, _ := d.run("status")
		return strings.Count(out, "live") == entries
	})
	probe := 0
	for _, a := range d.callers {
		c := newCaller(t, a)
		d.wait("every entry serves", func() bool {
			probe++ // each is a request of its own, and each id may run once
			r, err := c.send(http.MethodGet, fmt.Sprint("/lamps/ready", probe), goodKey, "")
			return err == nil && r.outcome == "done"
		})
	}
	return d
}

func (d *deployment) addFake(name, service string) {
	f := faker.NewFake(faker.Config{Name: name, Slots: 5, ServiceTime: 5 * time.Millisecond})
	s := httptest.NewServer(f.Handler())
	d.t.Cleanup(s.Close)
	d.fakes[name] = f
	d.text.targets = append(d.text.targets, fmt.Sprintf(
		"[target %s]\nservice = %s\naddress = %s\nregion = north\navailabilityZone = north1\nslots = 5\nversion = v1\n",
		name, service, s.Listener.Addr()))
}

func (d *deployment) addControls() {
	for range 3 {
		peer := freeAddress(d.t)
		r, err := relayer.NewRelay("127.0.0.1:0", peer)
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(r.Close)
		d.peers, d.relays = append(d.peers, peer), append(d.relays, r)
		d.administration = append(d.administration, freeAddress(d.t))
	}
	for i := range 3 {
		d.controls = append(d.controls, d.startControl(i))
	}
}

func (d *deployment) startControl(i int) *process {
	var others []string
	for j, r := range d.relays {
		if j != i {
			others = append(others, r.Address())
		}
	}
	settings := fmt.Sprintf("[member]\nname = control%d\nregion = north\navailabilityZone = north1\n"+
		"[listen]\npeer = %s\nadvertised = %s\nadministration = %s\nreport = %s\n[storage]\nfolder = %s\n[peers]\naddresses = %s\n",
		i, d.peers[i], d.relays[i].Address(), d.administration[i], freeAddress(d.t), d.dataFolder(i), strings.Join(others, ", ")) + d.security.settings + d.security.control
	return d.start(fmt.Sprintf("control%d", i), "filberthoist-control", settings)
}

func (d *deployment) dataFolder(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data%d", i))
}

func (d *deployment) addEntry(i int) {
	var controls []string
	for _, r := range d.relays {
		controls = append(controls, r.Address())
	}
	callers := freeAddress(d.t)
	settings := fmt.Sprintf("[member]\nname = entry%d\nregion = north\navailabilityZone = north1\n"+
		"[listen]\ncallers = %s\npeer = %s\nreport = %s\n[control]\naddresses = %s\n",
		i, callers, freeAddress(d.t), freeAddress(d.t), strings.Join(controls, ", ")) + d.security.settings
	d.callers = append(d.callers, callers)
	d.entries = append(d.entries, d.start(fmt.Sprintf("entry%d", i), "filberthoist-entry", settings))
}

func (d *deployment) start(name, program, settings string) *process {
	d.t.Helper()
	path := filepath.Join(d.folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		d.t.Fatal(err)
	}
	p := &process{t: d.t, name: name, settings: path, log: &bytes.Buffer{}}
	p.start(program)
	d.t.Cleanup(func() {
		p.end()
		if d.t.Failed() {
			d.t.Logf("log of %s:\n%s", p.name, p.log)
		}
	})
	return p
}

func (p *process) start(program string) {
	p.command = exec.Command(filepath.Join(programs, program), "--settings", p.settings)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go p.run()
}

func (p *process) run() {
	_ = p.command.Wait() // killed, mostly
	close(p.done)
}

func (p *process) signal(s syscall.Signal) {
	p.frozen = s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s) // it may have ended
}

// kill ends the process without warning and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) end() {
	select {
	case <-p.done:
	default:
		p.kill()
	}
}

// run executes an operator's command.
func (d *deployment) run(arguments ...string) (status int, out, problems string) {
	var o, e bytes.Buffer
	c := commander.NewCommander(commander.Config{Out: &o, Err: &e})
	arguments = append(arguments, "--control", strings.Join(d.administration, ","))
	status = c.Run(append(arguments, d.security.flags...))
	return status, o.String(), e.String()
}

// must executes a command until it succeeds, within the limit.
func (d *deployment) must(arguments ...string) string {
	d.t.Helper()
	var out, problems string
	ok := waitFor(func() bool {
		var status int
		status, out, problems = d.run(arguments...)
		return status == 0
	})
	if !ok {
		d.t.Fatalf("%v: %s", arguments, problems)
	}
	return out
}

// apply submits the text and waits until it is in force.
func (d *deployment) apply() {
	d.t.Helper()
	d.must("apply", d.writeText(), "--wait")
}

func (d *deployment) writeText() string {
	path := filepath.Join(d.folder, "text.ini")
	if err := os.WriteFile(path, []byte(d.text.String()), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// String returns the whole text.
func (x text) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[configuration]\nrevision = %d\ndeployment = test\n[limits]\n%s", x.revision, x.limits)
	b.WriteString("[region north]\navailabilityZones = north1\n")
	b.WriteString("[service lamps]\nversion = v1\n[service billing]\nversion = v1\n")
	b.WriteString("[route status]\nservice = lamps\npath = /lamps/\nmethods = GET, POST\nclass = idempotent\ntimeout = 3s\n")
	b.WriteString("[route help]\nservice = lamps\npath = /help/\nmethods = GET\nclass = open\ntimeout = 3s\n")
	b.WriteString("[route charge]\nservice = billing\npath = /charges/\nmethods = POST\nclass = atMostOnce\ntimeout = 3s\n")
	b.WriteString("[team good]\nrate = 10000\nburst = 10000\n[team small]\nrate = 5\nburst = 5\n")
	for name, key := range x.keys {
		fmt.Fprintf(&b, "[key %s]\nteam = good\ndigest = %s\n", name, digester.Key(key))
	}
	b.WriteString(strings.Join(x.targets, ""))
	b.WriteString(x.more)
	return b.String()
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

// caller keeps its connection to one entry.
type caller struct {
	client  *http.Client
	address string
	// extra headers go with each request.
	extra http.Header
}

func newCaller(t testing.TB, address string) *caller {
	c := &caller{client: &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}, address: address}
	t.Cleanup(c.client.CloseIdleConnections)
	return c
}

func (c *caller) send(method, path, key, body string) (reply, error) {
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.address+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if key != "" {
		q.Header.Set("Filberthoist-Key", key)
	}
	q.Header.Set("Load-Id", path)
	for name, values := range c.extra {
		q.Header[name] = values
	}
	r, err := c.client.Do(q)
	if err != nil {
		return reply{}, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return reply{r.StatusCode, r.Header.Get("Filberthoist-Outcome"), string(b), r.Header}, err
}

func (d *deployment) wait(what string, holds func() bool) {
	d.t.Helper()
	if !waitFor(holds) {
		d.t.Fatalf("not within %v: %s", settleLimit, what)
	}
}

func waitFor(holds func() bool) bool {
	for end := time.Now().Add(settleLimit); time.Now().Before(end); time.Sleep(poll) {
		if holds() {
			return true
		}
	}
	return false
}

// leader returns the number of the control member that leads.
func (d *deployment) leader() int {
	d.t.Helper()
	leader := -1
	d.wait("a leader is known", func() bool {
		_, out, _ := d.run("status")
		_, err := fmt.Sscanf(out, "leader control%d", &leader)
		return err == nil
	})
	return leader
}

func (d *deployment) checkServed(c *caller, key string) {
	d.t.Helper()
	is := is.New(d.t)
	r, err := c.send(http.MethodGet, "/lamps/7", key, "")
	is.NoErr(err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.outcome, "done")
	is.True(strings.HasPrefix(r.body, "GET /lamps/7 /lamps/7 by lamps"))
}

// Ports of the programs lie below those that the system gives to outgoing connections,
// which could otherwise take one between its choice and the program's start.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

var nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)

func freeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// load looks lamps up at a rate for a time, through all entries; the function it returns
// waits for the end and gives the report.
func (d *deployment) load(rate float64, length time.Duration) func() generator.Report {
	is := is.New(d.t)
	g, err := generator.NewGenerator(generator.Config{
		LookupAddresses: d.callers, Service: "lamps", Method: http.MethodGet, Path: "/lamps/7",
		Key: goodKey, Rate: rate, Duration: length, Seed: 1,
	})
	is.NoErr(err)
	done := make(chan generator.Report, 1)
	go func() { done <- g.Run(d.t.Context()) }()
	return func() generator.Report { return <-done }
}
