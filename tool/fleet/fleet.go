// Package fleet runs a whole deployment as processes on this machine, on
// loopback addresses only, and can kill, freeze, wake, wipe and start again any
// one of them. It ends only processes that it started itself.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"sorrelloom/daemon/client"
	"sorrelloom/daemon/pool"
	"sorrelloom/tool/deploy"
)

// Env says what to run, how much of it, and where.
type Env struct {
	Bin        string
	Folder     string
	Base       int
	Deployment deploy.Deployment
	Keepers    int
	Schedulers int
	Fronts     int
	Workers    int
	Relays     bool
}

// Process is one member of the fleet.
type Process struct {
	Name    string
	Role    string
	Address string
	HTTP    string
	Site    string
	listen  string
	args    []string
	command *exec.Cmd
	ended   chan struct{}
}

// Fleet is the processes of one deployment.
type Fleet struct {
	env     Env
	mu      sync.Mutex
	members map[string]*Process
	port    int
	relays  *relays
	Client  *client.Client
}

// Start brings up the daemons, then the stand-in workers. It does not wait.
func Start(e Env) (*Fleet, error) {
	f := &Fleet{env: e, members: map[string]*Process{}, port: e.Base}
	if e.Relays {
		f.relays = newRelays()
	}
	var fronts []string
	add := func(role string, count int) []*Process {
		var out []*Process
		for i := range count {
			p := &Process{
				Name:    fmt.Sprintf("%s-%d", role, i+1),
				Role:    role,
				Site:    e.Deployment.Sites[i%len(e.Deployment.Sites)],
				Address: f.address(),
				HTTP:    f.address(),
			}
			f.members[p.Name] = p
			out = append(out, p)
		}
		return out
	}
	keepers, schedulers := add("keeper", e.Keepers), add("scheduler", e.Schedulers)
	var seeds []string
	for _, p := range keepers[:min(3, len(keepers))] {
		seeds = append(seeds, p.Address)
	}
	for _, p := range add("front", e.Fronts) {
		fronts = append(fronts, p.HTTP)
		p.args = f.args(p, seeds)
	}
	for _, p := range keepers {
		p.args = append(f.args(p, seeds), "-data", filepath.Join(e.Folder, p.Name), "-founders", strings.Join(seeds, ","))
	}
	for _, p := range schedulers {
		p.args = f.args(p, seeds)
	}
	for i, p := range add("standin", e.Workers) {
		d := e.Deployment
		p.args = []string{
			"-id", p.Name, "-site", p.Site, "-service", d.Service,
			"-rack", fmt.Sprintf("r%d", i/deploy.PerRack+1),
			"-slots", fmt.Sprint(deploy.Slots), "-cores", fmt.Sprint(d.Cores),
			"-fronts", strings.Join(rotate(fronts, i), ","), "-http", p.HTTP,
		}
	}
	f.Client = client.Must(fronts)
	for _, name := range f.Names() {
		if p := f.members[name]; p.listen != "" {
			if err := f.relays.open(p.Address, p.listen); err != nil {
				return nil, err
			}
		}
	}
	for _, name := range f.Names() {
		if err := f.Run(name); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func rotate(list []string, by int) []string {
	by %= len(list)
	return append(append([]string{}, list[by:]...), list[:by]...)
}

func (f *Fleet) address() string {
	f.port++
	return fmt.Sprintf("127.0.0.1:%d", f.port)
}

func (f *Fleet) args(p *Process, seeds []string) []string {
	args := []string{"-address", p.Address}
	if f.relays != nil {
		p.listen = f.address()
		args = append(args, "-listen", p.listen)
	}
	return append(args, "-http", p.HTTP, "-site", p.Site, "-seeds", strings.Join(seeds, ","))
}

// Names lists the members; keepers come first, stand-ins last.
func (f *Fleet) Names() []string {
	order := map[string]int{"keeper": 0, "scheduler": 1, "front": 2, "standin": 3}
	names := make([]string, 0, len(f.members))
	for name := range f.members {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := f.members[names[i]], f.members[names[j]]
		if a.Role != b.Role {
			return order[a.Role] < order[b.Role]
		}
		return len(a.Name) < len(b.Name) || len(a.Name) == len(b.Name) && a.Name < b.Name
	})
	return names
}

// Member finds a process by its name.
func (f *Fleet) Member(name string) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.members[name]
	if !ok {
		return nil, fmt.Errorf("no process %q; there are %s", name, strings.Join(f.Names(), " "))
	}
	return p, nil
}

// runs says whether the process was started and has not ended, by itself or by an order.
func (p *Process) runs() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Run starts a member that is not running.
func (f *Fleet) Run(name string) error {
	p, err := f.Member(name)
	if err != nil {
		return err
	}
	if p.runs() {
		return fmt.Errorf("%s runs already", name)
	}
	if err := os.MkdirAll(f.env.Folder, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.env.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(f.env.Bin, p.Role), p.args...)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	pool.Go(func() {
		c.Wait()
		close(ended)
	})
	return nil
}

func (f *Fleet) signal(name string, s syscall.Signal) (*Process, error) {
	p, err := f.Member(name)
	if err != nil {
		return nil, err
	}
	if !p.runs() {
		return nil, fmt.Errorf("%s does not run", name)
	}
	return p, p.command.Process.Signal(s)
}

// Kill ends a member without warning and waits until it is gone.
func (f *Fleet) Kill(name string) error {
	p, err := f.signal(name, syscall.SIGKILL)
	if err == nil {
		<-p.ended
		p.command = nil
	}
	return err
}

// Stop asks a member to go, and kills it if it stays.
func (f *Fleet) Stop(name string) error {
	p, err := f.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		p.command.Process.Kill()
		<-p.ended
	}
	p.command = nil
	return nil
}

// Freeze stops a member where it stands, until Wake.
func (f *Fleet) Freeze(name string) error {
	_, err := f.signal(name, syscall.SIGSTOP)
	return err
}

// Wake lets a frozen member go on.
func (f *Fleet) Wake(name string) error {
	_, err := f.signal(name, syscall.SIGCONT)
	return err
}

// Wipe empties the data folder of a keeper that does not run.
func (f *Fleet) Wipe(name string) error {
	p, err := f.Member(name)
	if err != nil {
		return err
	}
	if p.runs() || p.Role != "keeper" {
		return fmt.Errorf("%s runs, or is no keeper", name)
	}
	return os.RemoveAll(filepath.Join(f.env.Folder, name))
}

// Join adds an empty keeper at a new address, beginning from the given seeds.
func (f *Fleet) Join(name, site string, seeds []string) error {
	f.mu.Lock()
	p := &Process{Name: name, Role: "keeper", Site: site, Address: f.address(), HTTP: f.address()}
	p.args = append(f.args(p, seeds), "-data", filepath.Join(f.env.Folder, name))
	f.members[name] = p
	f.mu.Unlock()
	if p.listen != "" {
		if err := f.relays.open(p.Address, p.listen); err != nil {
			return err
		}
	}
	return f.Run(name)
}

// Cut drops what one member sends to another; Mend lets it through again.
func (f *Fleet) Cut(from, to string, cut bool) error {
	a, err := f.Member(from)
	if err != nil {
		return err
	}
	b, err := f.Member(to)
	if err != nil {
		return err
	}
	if f.relays == nil {
		return fmt.Errorf("the fleet was started without relays")
	}
	f.relays.set(a.Address, b.Address, cut)
	return nil
}

// Folder is where data and logs are, one folder per keeper.
func (f *Fleet) Folder() string { return f.env.Folder }

// Close ends every member.
func (f *Fleet) Close() {
	if f.relays != nil {
		f.relays.close()
	}
	for _, p := range f.members {
		if p.command != nil {
			p.command.Process.Signal(syscall.SIGCONT)
			p.command.Process.Kill()
			<-p.ended
			p.command = nil
		}
	}
}

// Until asks again and again until the answer is yes or the wait is over.
func Until(wait time.Duration, yes func() bool) bool {
	over := time.After(wait)
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for !yes() {
		select {
		case <-over:
			return yes()
		case <-again.C:
		}
	}
	return true
}

// Ready says whether every running member with a readiness page is ready.
func (f *Fleet) Ready() bool {
	for _, name := range f.Names() {
		p := f.members[name]
		if p.command == nil || p.Role == "standin" {
			continue
		}
		if r, err := f.Client.At(p.HTTP, "GET", "/readyz", nil, nil, time.Second); err != nil || r.Status != 200 {
			return false
		}
	}
	return true
}

// Primary names the keeper that serves, if one says so.
func (f *Fleet) Primary() string {
	for _, name := range f.Names() {
		p := f.members[name]
		if p.Role != "keeper" || p.command == nil {
			continue
		}
		var status struct {
			Serving bool `json:"serving"`
		}
		r, err := f.Client.At(p.HTTP, "GET", "/status", nil, nil, time.Second)
		if err == nil && r.Decode(&status) == nil && status.Serving {
			return name
		}
	}
	return ""
}

func (f *Fleet) gather(role string, pick func(*Process) string) []string {
	var out []string
	for _, name := range f.Names() {
		if p := f.members[name]; p.Role == role {
			out = append(out, pick(p))
		}
	}
	return out
}

// Fronts gives the HTTP addresses of the fronts.
func (f *Fleet) Fronts() []string {
	return f.gather("front", func(p *Process) string { return p.HTTP })
}

// Seeds gives three daemons to begin from that are not keepers.
func (f *Fleet) Seeds() []string {
	all := f.gather("scheduler", func(p *Process) string { return p.Address })
	return all[:min(3, len(all))]
}
