// What a relay takes: a ledger command as the value of an ask, with the time in
// which it may still be of use as Wait. The answer is a ledger.Answer; it comes
// at once when the command cannot be served in time.
package relay

// AskCommand is the one kind of request that a relay takes.
const AskCommand = "command"
