// Package logging writes the process log on standard error: one line of key=value pairs
// per event, as log/slog's text handler formats it.
//
//	time=2026-01-02T03:04:05.006Z level=INFO event=serving node=keeper@10.0.0.1:7000 epoch=4
//
// The handler is called directly, since a slog.Logger looks up the caller for every line,
// which is not printed here. A node is named by its role on the wire and its address;
// the wire name of a replica is keeper.
package logging

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"
)

// unknownNode is the node name in lines logged before Init.
const unknownNode = "-"

// handler must be set by Init before other goroutines log.
var handler = newHandler(os.Stderr, unknownNode)

// Init sets the node name for all following lines.
func Init(node string) { handler = newHandler(os.Stderr, node) }

// newHandler returns a handler that prints the event and the node name in each line.
func newHandler(out io.Writer, node string) slog.Handler {
	options := &slog.HandlerOptions{ReplaceAttr: func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.MessageKey {
			attribute.Key = "event"
		}
		return attribute
	}}
	return slog.NewTextHandler(out, options).WithAttrs([]slog.Attr{slog.String("node", node)})
}

// Info logs an event of normal operation. fields are alternating keys and values.
func Info(event string, fields ...any) { Log(slog.LevelInfo, event, fields...) }

// Warn logs an event that the process recovers from by itself, but that operators should know
// of if it persists.
func Warn(event string, fields ...any) { Log(slog.LevelWarn, event, fields...) }

// Error logs a failure that stops the process, or permanently stops a part of it.
func Error(event string, fields ...any) { Log(slog.LevelError, event, fields...) }

// Log logs an event at the given level.
func Log(level slog.Level, event string, fields ...any) {
	// The program counter of the caller is not needed, since it is not printed.
	record := slog.NewRecord(time.Now().UTC(), level, event, 0)
	record.Add(fields...)
	// Errors are ignored, since there is no other place to report them.
	_ = handler.Handle(context.Background(), record)
}
