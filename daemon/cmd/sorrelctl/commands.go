package main

import (
	"net/http"
	"net/url"
	"strings"
)

// apiCall is the API request for a command.
type apiCall struct {
	method, path string
	// file is the name of the file that contains the body; empty for no body.
	file string
	// needsBase is set if the command changes the configuration and thus requires -base or
	// -force.
	needsBase bool
	// explain is set if only the reason is printed for which a job waits.
	explain bool
}

// command is a command of one or more words and the number of arguments that follow them.
type command struct {
	words         string
	argumentCount int
	call          func(arguments []string, o options) apiCall
}

var commands = []command{
	{"submit", 1, func(a []string, _ options) apiCall {
		return apiCall{method: http.MethodPost, path: "/v1/jobs", file: a[0]}
	}},
	{"status", 1, jobStatus},
	{"why", 1, func(a []string, o options) apiCall {
		call := jobStatus(a, o)
		call.explain = true
		return call
	}},
	{"cancel", 1, func(a []string, _ options) apiCall {
		return apiCall{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(a[0])}
	}},
	{"jobs", 0, get("/v1/jobs")},
	{"workers", 0, get("/v1/workers")},
	{"nodes", 0, get("/v1/nodes")},
	{"leaderships", 0, get("/v1/duties")},
	{"config get", 0, get("/v1/plan")},
	{"config check", 1, func(a []string, _ options) apiCall {
		return apiCall{method: http.MethodPost, path: "/v1/plan/check", file: a[0]}
	}},
	{"config put", 1, changeConfig(http.MethodPut)},
	{"config patch", 1, changeConfig(http.MethodPatch)},
	{"zone drain", 1, post("/v1/sites/", "/empty")},
	{"zone undrain", 1, post("/v1/sites/", "/refill")},
	{"worker drain", 1, post("/v1/workers/", "/drain")},
	{"worker undrain", 1, post("/v1/workers/", "/undrain")},
	{"worker confirm-dead", 1, post("/v1/workers/", "/gone")},
	{"leadership move", 2, func(a []string, _ options) apiCall {
		path := "/v1/duties/" + url.PathEscape(a[0]) + "/pass?to=" + url.QueryEscape(a[1])
		return apiCall{method: http.MethodPost, path: path}
	}},
}

// earlierNames maps the names of commands in earlier releases, which are still accepted, to
// their current names.
var earlierNames = map[string]string{
	"duties":      "leaderships",
	"plan get":    "config get",
	"plan check":  "config check",
	"plan put":    "config put",
	"plan patch":  "config patch",
	"site empty":  "zone drain",
	"site refill": "zone undrain",
	"worker gone": "worker confirm-dead",
	"duty pass":   "leadership move",
}

func get(path string) func([]string, options) apiCall {
	return func([]string, options) apiCall { return apiCall{method: http.MethodGet, path: path} }
}

// post returns the request of a command whose argument is part of the path.
func post(before, after string) func([]string, options) apiCall {
	return func(a []string, _ options) apiCall {
		return apiCall{method: http.MethodPost, path: before + url.PathEscape(a[0]) + after}
	}
}

func changeConfig(method string) func([]string, options) apiCall {
	return func(a []string, o options) apiCall {
		return apiCall{method: method, path: "/v1/plan" + o.baseQuery(), file: a[0], needsBase: true}
	}
}

func jobStatus(a []string, o options) apiCall {
	return apiCall{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(a[0]) + "?wait=" + o.wait.String()}
}

// parseCommand returns the API request for the words of a command.
func parseCommand(words []string, o options) (apiCall, bool) {
	for _, c := range commands {
		wordCount := len(words) - c.argumentCount
		if wordCount < 1 {
			continue
		}
		name := strings.Join(words[:wordCount], " ")
		if name == c.words || earlierNames[name] == c.words {
			return c.call(words[wordCount:], o), true
		}
	}
	return apiCall{}, false
}
