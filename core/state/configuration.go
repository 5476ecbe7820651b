package state

import (
	"encoding/json"
	"reflect"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

// ConfigChange replaces the configuration by Body or, with Patch, applies Body as a patch.
// Unless it is Forced, it is rejected if the current version is not BaseVersion. Version,
// where set, is the version of the new configuration, which must be higher than the current
// one; by default it is the current one plus 1.
type ConfigChange struct {
	BaseVersion uint64          `json:"base"`
	Version     uint64          `json:"sequence,omitempty"`
	Forced      bool            `json:"forced,omitempty"`
	Patch       bool            `json:"patch,omitempty"`
	Body        json.RawMessage `json:"body"`
}

// changeConfig applies a configuration change. The version of the configuration never
// decreases.
func (s *Store) changeConfig(change ConfigChange) Result {
	current := s.config.Version
	if !change.Forced && change.BaseVersion != current {
		result := reject(status.StaleConfig, "the plan is at sequence %d, not %d", current, change.BaseVersion)
		result.ConfigVersion = current
		return result
	}
	next, violations := parseChange(s.config, change)
	if len(violations) > 0 {
		result := reject(violations[0].Code, "%s: %s", violations[0].Path, violations[0].Reason)
		result.Violations, result.ConfigVersion = violations, current
		return result
	}
	next.Version = current + 1
	if change.Version > 0 {
		if change.Version <= current {
			return reject(status.InvalidConfig, "/sequence: %d is not above %d", change.Version, current)
		}
		next.Version = change.Version
	}
	placementChanges := !placementUnchanged(s.config, next)
	s.keepFormerLimits(next)
	s.keepFormerClasses(next)
	s.setConfig(next)
	clear(s.serviceLoads)
	s.audit.record(Decision{Kind: decisionChangeConfig, ConfigVersion: next.Version, Digest: digest(next)})
	if placementChanges {
		s.changes = append(s.changes, Change{All: true})
	}
	return Result{Code: status.OK, ConfigVersion: next.Version}
}

// parseChange returns the configuration after a change, or the violations found in it.
func parseChange(base config.Config, change ConfigChange) (config.Config, []config.Violation) {
	if change.Patch {
		return config.ApplyPatch(base, change.Body)
	}
	return config.Parse(change.Body)
}

// placementUnchanged reports whether the next configuration places tasks as the old one did:
// by the same policies and limits, with the old classes unchanged. Routes and added classes
// do not matter.
func placementUnchanged(old, next config.Config) bool {
	return reflect.DeepEqual(old.Policies, next.Policies) && old.Limits == next.Limits && classesUnchanged(old, next)
}

// classesUnchanged reports whether the next configuration has every class of the old one,
// with the same priority and the same Quick setting.
func classesUnchanged(old, next config.Config) bool {
	for name, service := range old.Services {
		for class, was := range service.Classes {
			now, ok := next.Services[name].Classes[class]
			if !ok || now.Priority != was.Priority || now.Quick != was.Quick {
				return false
			}
		}
	}
	return len(old.Services) > 0
}
