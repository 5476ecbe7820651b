package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"sorrelloom/daemon/pool"
	"sorrelloom/tool/fleet"
)

const commandHelp = `commands, one a line:
  list                 names, zones, addresses
  primary              which replica serves
  kill NAME            end it without warning     run NAME    start it again
  stop NAME            ask it to end              freeze NAME / wake NAME
  wipe NAME            empty a replica's data directory, while it does not run
  cut FROM TO          drop what one sends another, with -relays; mend FROM TO
  join NAME SITE       add an empty replica at a new address
  quit
`

// runCommands executes commands from standard input until the command quit or a signal. After the
// end of the input it waits for a signal.
func runCommands(f *fleet.Fleet) {
	lines := readLines()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case <-stop:
			return
		case line, ok := <-lines:
			if !ok {
				<-stop
				return
			}
			words := strings.Fields(line)
			if len(words) == 0 {
				continue
			}
			if words[0] == "quit" {
				return
			}
			if err := execute(f, words); err != nil {
				fmt.Println("error:", err)
			} else {
				fmt.Println("ok")
			}
		}
	}
}

// readLines returns the lines of standard input, and closes the channel at its end.
func readLines() <-chan string {
	lines := make(chan string)
	pool.Go(func() {
		scanner := bufio.NewScanner(os.Stdin)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
		close(lines)
	})
	return lines
}

// execute executes one command.
func execute(f *fleet.Fleet, words []string) error {
	processCommands := map[string]func(name string) error{
		"kill": f.Kill, "run": f.StartProcess, "stop": f.Stop,
		"freeze": f.Freeze, "wake": f.Resume, "wipe": f.WipeData,
	}
	command := words[0]
	switch {
	case len(words) == 1 && command == "list":
		list(f)
		return nil
	case len(words) == 1 && command == "primary":
		fmt.Println(f.Primary())
		return nil
	case len(words) == 2 && processCommands[command] != nil:
		return processCommands[command](words[1])
	case len(words) == 3 && (command == "cut" || command == "mend"):
		return f.SetPartition(words[1], words[2], command == "cut")
	case len(words) == 3 && command == "join":
		return f.AddReplica(words[1], words[2], f.SchedulerSeeds())
	}
	return fmt.Errorf("unknown command; %s", commandHelp)
}

// list prints the name, zone and addresses of all processes.
func list(f *fleet.Fleet) {
	for _, name := range f.ProcessNames() {
		if p, err := f.Process(name); err == nil {
			fmt.Printf("%s site=%s address=%s http=%s\n", p.Name, p.Zone, p.Address, p.HTTPAddress)
		}
	}
}
