package scale

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// ProcessUsage is what one process used.
type ProcessUsage struct {
	Name              string
	CPUSeconds        float64
	PeakMB            float64
	ReadMB, WrittenMB float64
}

// Fields of /proc/PID/stat, counted from behind the name of the program: the processor time
// in user and in system mode, in clock ticks.
const (
	userTimeField   = 11
	systemTimeField = 12
	ticksPerSecond  = 100
)

// since returns what was used after an earlier usage. The peak is that of the whole life.
func (u ProcessUsage) since(earlier ProcessUsage) ProcessUsage {
	u.CPUSeconds -= earlier.CPUSeconds
	u.ReadMB -= earlier.ReadMB
	u.WrittenMB -= earlier.WrittenMB
	return u
}

// processUsages reads what the kernel counted for the core processes and for this one.
func processUsages(cores []*exec.Cmd) []ProcessUsage {
	var usages []ProcessUsage
	for i, core := range cores {
		usages = append(usages, processUsage(fmt.Sprintf("core-%d", i), core.Process.Pid))
	}
	return append(usages, processUsage("hollow", os.Getpid()))
}

func processUsage(name string, pid int) ProcessUsage {
	return ProcessUsage{
		Name:       name,
		CPUSeconds: cpuSeconds(pid),
		PeakMB:     procValue(pid, "status", "VmHWM") / 1024,
		ReadMB:     procValue(pid, "io", "rchar") / 1e6,
		WrittenMB:  procValue(pid, "io", "wchar") / 1e6,
	}
}

// cpuSeconds is the processor time of a process, zero if it cannot be read.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	stat := string(data)
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	user, _ := strconv.ParseFloat(fields[userTimeField], 64)
	system, _ := strconv.ParseFloat(fields[systemTimeField], 64)
	return (user + system) / ticksPerSecond
}

// procValue reads a number from a file of /proc/PID with lines "key: number", zero if it
// cannot be read.
func procValue(pid int, file, key string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, key+":"); ok {
			value, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return value
		}
	}
	return 0
}
