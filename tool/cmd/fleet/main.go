// Program fleet runs a whole deployment on this machine, on loopback only, and
// takes orders on standard input to break and mend it. It is for trying things
// out and for tests; daemons themselves never start a process.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/daemon/pool"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fleet"
)

const orders = `orders, one a line:
  list                 names, sites, addresses
  primary              which keeper serves
  kill NAME            end it without warning     run NAME    start it again
  stop NAME            ask it to go               freeze NAME / wake NAME
  wipe NAME            empty a keeper's data folder, while it does not run
  cut FROM TO          drop what one sends another, with -relays; mend FROM TO
  join NAME SITE       add an empty keeper at a new address
  quit
`

func main() { os.Exit(run()) }

func run() int {
	fs := flag.NewFlagSet("fleet", flag.ContinueOnError)
	name := fs.String("deployment", "reseller", "reseller or podcast")
	bin := fs.String("bin", "bin", "folder with the built programs")
	folder := fs.String("folder", "run", "folder for data and logs")
	base := fs.Int("base", 20000, "ports above this one are used, on 127.0.0.1")
	keepers := fs.Int("keepers", deploy.Replicas, "keepers, at least 3")
	schedulers := fs.Int("schedulers", deploy.Schedulers, "schedulers")
	fronts := fs.Int("fronts", deploy.Gateways, "fronts")
	relays := fs.Bool("relays", false, "send all lines through relays, so that members can be cut")
	workers := fs.Int("workers", deploy.Workers, "stand-in workers")
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("FLEET")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	d, err := deploy.Get(*name)
	if err != nil || *keepers < 3 || *schedulers < 1 || *fronts < 1 || *workers < 0 || *base < 1024 || *base > 32000 || fs.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "fleet: bad settings:", err, "(at least 3 keepers, 1 scheduler, 1 front; base from 1024 to 32000, below the ports that systems give out)")
		return 2
	}
	f, err := fleet.Start(fleet.Config{BinaryDir: *bin, Directory: *folder, BasePort: *base, Deployment: d, Replicas: *keepers, Schedulers: *schedulers, Gateways: *fronts, Workers: *workers, Proxies: *relays})
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 1
	}
	defer f.Close()
	if !fleet.Poll(30*time.Second, f.Ready) {
		fmt.Fprintln(os.Stderr, "fleet: not ready after 30 s; see the logs in", *folder)
		return 1
	}
	r, err := f.Client.Call("GET", "/v1/plan", nil, nil, 5*time.Second)
	var now struct {
		Sequence uint64 `json:"sequence"`
	}
	if err == nil && r.Status == 200 && r.Decode(&now) == nil && now.Sequence == 0 {
		r, err = f.Client.Call("PUT", "/v1/plan?base=0", d.Config, nil, 5*time.Second)
	}
	if err != nil || r.Status != 200 {
		fmt.Fprintf(os.Stderr, "fleet: plan: %v %s\n", err, r.Body)
		return 1
	}
	if err := os.WriteFile(filepath.Join(*folder, "fronts"), []byte(strings.Join(f.Gateways(), ",")+"\n"), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 1
	}
	fmt.Printf("ready: deployment=%s primary=%s\nfronts: %s\n%s", d.Name, f.Primary(), strings.Join(f.Gateways(), ","), orders)
	lines := make(chan string)
	pool.Go(func() {
		scanner := bufio.NewScanner(os.Stdin)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
		close(lines)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-stop:
			return 0
		case line, ok := <-lines:
			if !ok {
				<-stop
				return 0
			}
			words := strings.Fields(line)
			if len(words) == 0 {
				continue
			}
			if words[0] == "quit" {
				return 0
			}
			if err := order(f, words); err != nil {
				fmt.Println("error:", err)
			} else {
				fmt.Println("ok")
			}
		}
	}
}

func order(f *fleet.Fleet, words []string) error {
	simple := map[string]func(string) error{"kill": f.Kill, "run": f.StartProcess, "stop": f.Stop, "freeze": f.Freeze, "wake": f.Resume, "wipe": f.WipeData}
	switch {
	case len(words) == 1 && words[0] == "list":
		for _, name := range f.ProcessNames() {
			if p, err := f.Process(name); err == nil {
				fmt.Printf("%s site=%s address=%s http=%s\n", p.Name, p.Zone, p.Address, p.HTTPAddress)
			}
		}
		return nil
	case len(words) == 1 && words[0] == "primary":
		fmt.Println(f.Primary())
		return nil
	case len(words) == 2 && simple[words[0]] != nil:
		return simple[words[0]](words[1])
	case len(words) == 3 && (words[0] == "cut" || words[0] == "mend"):
		return f.SetPartition(words[1], words[2], words[0] == "cut")
	case len(words) == 3 && words[0] == "join":
		return f.AddReplica(words[1], words[2], f.SchedulerSeeds())
	}
	return fmt.Errorf("unknown order; %s", orders)
}
