package sim

import (
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/config"
)

// Indexes of the kinds of traffic in deploy.Deployment.Traffic.
const (
	quickTraffic = iota
	batchTraffic
	longTraffic
)

// submitCrowd submits 120 jobs of all kinds at once.
func (s *FleetScenario) submitCrowd() {
	for i := range 120 {
		s.submit(s.newJob(s.options.Deployment.Traffic[i%3], s.world.idNow("crowd", i)))
	}
	s.expectDegraded(5 * time.Second)
}

// submitLargeJobs submits 6 jobs of many tasks.
func (s *FleetScenario) submitLargeJobs() {
	traffic := s.options.Deployment.Traffic[longTraffic]
	traffic.StepWidths, traffic.RunMillis = []int{8, 2}, 3000
	for i := range 6 {
		s.submit(s.newJob(traffic, s.world.idNow("large", i)))
	}
}

// submitImpossibleJobs submits jobs that no worker can run: jobs that are too large, that
// need a label that is not configured, or that need a configured label that no worker has.
func (s *FleetScenario) submitImpossibleJobs() {
	parsed, _ := config.Parse(s.options.Deployment.Config)
	unusedLabel := parsed.Services[s.options.Deployment.Service].Labels[1]
	for i := range 40 {
		job := s.newJob(s.options.Deployment.Traffic[longTraffic], s.world.idNow("impossible", i))
		job.impossible = true
		task := &job.spec.Tasks[0]
		switch i % 3 {
		case 0:
			task.Resources.Slots = 99
		case 1:
			task.Labels = []string{"moonstone"}
		default:
			task.Labels = []string{unusedLabel}
		}
		s.submit(job)
	}
}

// changeConfigOften changes the configuration 20 times within a second.
func (s *FleetScenario) changeConfigOften() {
	for i := range 20 {
		s.world.After(time.Duration(i*30)*time.Millisecond, func() {
			s.changeConfig(fmt.Sprintf(`{"limits":{"maxLosses":%d}}`, 20+i))
		})
	}
}

// raceConfigChanges makes two operators change the configuration at the same time.
func (s *FleetScenario) raceConfigChanges() {
	s.changeConfig(`{"policies":{"order":"priority + waited / 60"}}`)
	s.changeConfig(`{"policies":{"order":"priority"}}`)
}

// putLargeConfig adds 1500 services to the configuration.
func (s *FleetScenario) putLargeConfig() {
	services := make([]string, 1500)
	for i := range services {
		services[i] = fmt.Sprintf(
			`"extra%d":{"largestWorker":{"slots":1},"classes":{"c":{"priority":1,"share":10}}}`, i)
	}
	s.changeConfig(`{"services":{` + strings.Join(services, ",") + `}}`)
}

// drainRandomZone drains a zone for a while, unless one is drained now or was less than 5 s
// ago.
func (s *FleetScenario) drainRandomZone() {
	for _, drain := range s.drainedZones {
		if drain.isOpen() || drain.to > s.world.Now-5*time.Second {
			return
		}
	}
	s.drainZone(s.zones[s.world.rng.IntN(len(s.zones))], 9*time.Second)
}
