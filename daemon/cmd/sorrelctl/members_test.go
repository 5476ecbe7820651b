package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/replica"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// serveJSON starts an HTTP server that responds to GET requests for one path with a JSON
// body.
func serveJSON(t *testing.T, path string, body any) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != path {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if err := json.NewEncoder(w).Encode(body); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// reportOf returns the report of a replica in an epoch whose leader is member "one".
func reportOf(id string, epoch uint64, serving bool) replica.Report {
	one, two := wire.Member{ID: "one", Address: "10.0.0.1:7000"}, wire.Member{ID: "two", Address: "10.0.0.2:7000"}
	var report replica.Report
	report.ID, report.Serving, report.LeadershipConfirmed = id, serving, serving
	report.View = wire.View{Epoch: epoch, Primary: one, Backups: []wire.Member{two}, Voters: []wire.Member{one, two}}
	report.Position = state.LogPosition{Epoch: epoch, Index: 900}
	report.Members = []replica.MemberStatus{
		{Member: one, Role: replica.Leader, Index: 900},
		{Member: two, Role: replica.Backup, Index: 893, Lag: 7, HeardMsAgo: 40},
	}
	if id == "two" {
		report.Members[0].Lag, report.Members[0].HeardMsAgo = replica.Unknown, 30
		report.Members[1].Lag, report.Members[1].HeardMsAgo = replica.Unknown, 0
	}
	return report
}

// TestMembersShowsNewestLeader checks the output for status pages that report different
// epochs and leadership states.
func TestMembersShowsNewestLeader(t *testing.T) {
	const nobody = "127.0.0.1:1"
	leader := serveJSON(t, statusPath, reportOf("one", 4, true))
	backup := serveJSON(t, statusPath, reportOf("two", 4, false))
	alone := reportOf("one", 4, true)
	alone.LeadershipConfirmed = false
	unconfirmed := serveJSON(t, statusPath, alone)
	replaced := serveJSON(t, statusPath, reportOf("old", 3, true))
	for _, row := range []struct {
		name  string
		pages []string
		exit  int
		has   []string
	}{
		{"all answer", []string{backup, leader}, exitOK, []string{"10.0.0.1:7000 leads in epoch 4", "893", "7", "40ms ago"}},
		{"a replaced leader answers too", []string{replaced, leader}, exitOK,
			[]string{"leads in epoch 4", "not in this view: " + replaced + " (old)"}},
		{"the leader does not answer", []string{nobody, backup}, exitRejected,
			[]string{"is named to lead and did not confirm it in epoch 4",
				"no status from " + nobody, "none leads and is confirmed"}},
		{"the leader reaches no backup", []string{unconfirmed, backup}, exitRejected,
			[]string{"leads and is not confirmed by its backups in epoch 4", "none leads and is confirmed"}},
		{"nobody answers", []string{nobody}, exitUnreachable, []string{"no status from " + nobody}},
	} {
		t.Run(row.name, func(t *testing.T) {
			var out bytes.Buffer
			if exit := members(nil, row.pages, time.Second, &out, &out); exit != row.exit {
				t.Errorf("exit code %d, want %d", exit, row.exit)
			}
			for _, text := range row.has {
				if !strings.Contains(out.String(), text) {
					t.Errorf("no %q in\n%s", text, out.String())
				}
			}
		})
	}
}

// TestMembersAsksGatewayForReplicas checks that a gateway provides the addresses if none are
// given.
func TestMembersAsksGatewayForReplicas(t *testing.T) {
	leader := serveJSON(t, statusPath, reportOf("one", 4, true))
	gateway := serveJSON(t, nodesPath, wire.Gossip{Nodes: []wire.Node{
		{ID: "one", Role: wire.RoleReplica, HTTPAddress: leader},
		{ID: "f", Role: wire.RoleGateway, HTTPAddress: "127.0.0.1:1"},
	}})
	var out bytes.Buffer
	if exit := members([]string{gateway}, nil, time.Second, &out, &out); exit != exitOK {
		t.Errorf("exit code %d:\n%s", exit, out.String())
	}
}
