package config

import (
	"encoding/json"

	"sorrelloom/core/status"
)

// ApplyPatch applies a JSON merge patch (RFC 7396) to a configuration and validates the result.
func ApplyPatch(base Config, patch []byte) (Config, []Violation) {
	var change any
	if err := json.Unmarshal(patch, &change); err != nil {
		return Config{}, []Violation{{status.Malformed, rootPath, err.Error()}}
	}
	if _, ok := change.(map[string]any); !ok {
		return Config{}, []Violation{{status.Malformed, rootPath, "a patch is a JSON object"}}
	}
	merged, err := mergeConfig(base, change)
	if err != nil {
		return Config{}, []Violation{{status.Internal, rootPath, err.Error()}}
	}
	return Parse(merged)
}

func mergeConfig(base Config, change any) ([]byte, error) {
	data, err := json.Marshal(base)
	if err != nil {
		return nil, err
	}
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	return json.Marshal(mergePatch(document, change))
}

// mergePatch implements the MergePatch function of RFC 7396, section 2.
func mergePatch(target, patch any) any {
	fields, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	merged, ok := target.(map[string]any)
	if !ok {
		merged = map[string]any{}
	}
	for name, value := range fields {
		if value == nil {
			delete(merged, name)
		} else {
			merged[name] = mergePatch(merged[name], value)
		}
	}
	return merged
}
