package gateway

import (
	"path/filepath"
	"testing"

	"sorrelloom/core/config"
	"sorrelloom/core/goldentest"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// recordings is the directory of HTTP API bodies as encoded by commit 40d3d2c.
const recordings = "testdata/40d3d2c"

// bodies holds a value of the type of each request and response body, by the recording's name.
var bodies = map[string]any{
	"request-job":    state.JobSpec{},
	"request-beat":   state.Heartbeat{},
	"plan":           config.Config{},
	"answer-outcome": Outcome{},
	"answer-job":     JobView{},
	"answer-orders":  HeartbeatView{},
	"answer-check":   ConfigCheckView{},
	"answer-worker":  WorkerView{},
	"answer-node":    wire.Node{},
	"answer-duty":    state.Leadership{},
}

func TestBodiesMatchRecordings(t *testing.T) {
	names := map[string]bool{}
	for name, example := range bodies {
		names[name+".json"] = true
		t.Run(name, func(t *testing.T) {
			goldentest.JSON(t, filepath.Join(recordings, name+".json"), example)
		})
	}
	goldentest.CheckNoExtraFiles(t, recordings, names)
}
