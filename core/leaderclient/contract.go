// Package leaderclient carries commands to the primary keeper for those who follow no
// ledger.
//
// A relay takes a ledger command as the value of an ask, with the time in which it
// may still be of use as Wait. The answer is a ledger.Answer; it comes at once when
// the command cannot be served in time.
//
// Commands are sent to a keeper that has shown that it leads, a window of them at a
// time, the ones with the least time left first. A command is sent again only once
// it is known to be lost: when the relay turns to another keeper, or when the
// primary has answered what was sent after it. Keepers answer in the order in which
// commands reach them.
package leaderclient

// AskCommand is the one kind of request that a relay takes.
const RequestCommand = "command"
