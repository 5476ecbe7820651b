// Package logging writes one line of key=value pairs for each event, through
// klog without its own headers.
package logging

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"
)

var processName = "-"

// Init says whose lines these are.
func Init(process string) {
	processName = process
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for key, value := range map[string]string{"skip_headers": "true", "logtostderr": "true"} {
		if err := flags.Set(key, value); err != nil {
			panic(err)
		}
	}
}

// Event writes one line; fields are keys and values in turn.
func Info(event string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "time=%s node=%s event=%s", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), processName, event)
	for i := 0; i+1 < len(fields); i += 2 {
		value := fmt.Sprint(fields[i+1])
		if value == "" || strings.ContainsAny(value, " =\"\n\t") {
			value = strconv.Quote(value)
		}
		fmt.Fprintf(&b, " %v=%s", fields[i], value)
	}
	klog.Info(b.String())
}

// Flush writes out what klog still holds.
func Flush() { klog.Flush() }
