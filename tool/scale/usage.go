package scale

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// ProcessUsage is the resource usage of one process.
type ProcessUsage struct {
	Name              string
	CPUSeconds        float64
	PeakMB            float64
	ReadMB, WrittenMB float64
}

// Indexes of fields in /proc/PID/stat, counted from the first one after the program name: the
// CPU time in user and in system mode, in clock ticks.
const (
	userTimeField   = 11
	systemTimeField = 12
	ticksPerSecond  = 100
)

// since returns the usage since an earlier one. PeakMB remains the peak over the lifetime of the
// process.
func (u ProcessUsage) since(earlier ProcessUsage) ProcessUsage {
	u.CPUSeconds -= earlier.CPUSeconds
	u.ReadMB -= earlier.ReadMB
	u.WrittenMB -= earlier.WrittenMB
	return u
}

// processUsages returns the resource usage of the core processes and of this process, as counted
// by the kernel.
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

// cpuSeconds returns the CPU time of a process in seconds, 0 if it cannot be read.
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

// procValue returns a number from a file in /proc/PID with lines "key: number", 0 if it cannot
// be read.
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
