// Package logging writes the process log on standard error: one line of key=value pairs
// per event, as log/slog's text handler formats it.
//
//	time=2026-01-02T03:04:05.006Z level=INFO event=serving node=keeper@10.0.0.1:7000 epoch=4
//
// The handler is called directly, since a slog.Logger looks up the caller of every line,
// which is not printed here. The node is named by its role in messages, where a replica
// is a keeper.
package logging

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"
)

// unknownNode stands for the process in lines that are written before Init.
const unknownNode = "-"

// handler is set by Init before other goroutines log.
var handler = newHandler(os.Stderr, unknownNode)

// Init names the process in all lines from now on.
func Init(node string) { handler = newHandler(os.Stderr, node) }

// newHandler returns a handler whose lines name the event and the process.
func newHandler(out io.Writer, node string) slog.Handler {
	options := &slog.HandlerOptions{ReplaceAttr: func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.MessageKey {
			attribute.Key = "event"
		}
		return attribute
	}}
	return slog.NewTextHandler(out, options).WithAttrs([]slog.Attr{slog.String("node", node)})
}

// Info logs an event of normal operation. Fields are alternating keys and values.
func Info(event string, fields ...any) { Log(slog.LevelInfo, event, fields...) }

// Warn logs an event that the process recovers from by itself, but that an operator
// should know of if it persists.
func Warn(event string, fields ...any) { Log(slog.LevelWarn, event, fields...) }

// Error logs a failure that ends the process, or a part of its work for good.
func Error(event string, fields ...any) { Log(slog.LevelError, event, fields...) }

// Log logs an event of any level.
func Log(level slog.Level, event string, fields ...any) {
	// The program counter of the caller is not printed, so none is given.
	record := slog.NewRecord(time.Now().UTC(), level, event, 0)
	record.Add(fields...)
	// A line that cannot be written is lost: there is no other place to report it.
	_ = handler.Handle(context.Background(), record)
}
