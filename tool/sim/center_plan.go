// The plan of the composition of centers, as a translator makes it.
package sim

import (
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/plan"
)

func millis(ms int64) plan.Span { return plan.Span{Duration: time.Duration(ms) * time.Millisecond} }

// centerPlan is a plan as an outside system's translator makes it.
func centerPlan(priority int) []byte {
	p := plan.Default()
	p.Sites = []string{"a", "b", "c"}
	p.Policies = plan.Policies{Order: "priority", Borrow: "true"}
	p.Services = map[string]plan.Service{
		centerMain: {AnyLabel: true, Classes: map[string]plan.Class{
			"lookup": {Priority: 1000, Quick: true, Share: 33, AllowedDefects: 3, Silence: plan.Restart},
			"batch":  {Priority: 990, Share: 33, AllowedDefects: 3, Silence: plan.Restart},
			"long":   {Priority: priority, Share: 33, AllowedDefects: 5, Silence: plan.Restart},
		}},
		centerOther: {AnyLabel: true, Classes: map[string]plan.Class{
			"print": {Priority: 990, Share: 100, AllowedDefects: 3, Silence: plan.Restart},
		}},
	}
	for _, class := range []string{"lookup", "batch", "long", "print"} {
		service := centerMain
		if class == "print" {
			service = centerOther
		}
		p.Entries = append(p.Entries, plan.Entry{
			Name: class, Host: centerHost, Prefix: "/" + class, Service: service, Class: class,
		})
	}
	p.Limits.EndsAtCutoff = true
	p.Limits.Lease, p.Limits.Margin, p.Limits.StartBy, p.Limits.Silent =
		millis(6000), millis(480), millis(3800), millis(1500)
	p.Limits.RunLimit, p.Limits.MaxLosses, p.Limits.MaxTasks = millis(24*3600*1000), 1_000_000, 10_000
	return machine.MustJSON(p)
}
