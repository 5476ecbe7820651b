package machine

// Decode decodes a message's body. If that is malformed, it logs a warning and returns false, and
// the caller must drop the message.
func Decode[B any](message Message, out *Output) (body B, ok bool) {
	if err := Unmarshal(message.Body, &body); err != nil {
		out.Warn("message_malformed", "kind", message.Kind, "from", message.From, "error", err.Error())
		return body, false
	}
	return body, true
}

// HandleBody decodes a message's body and passes it to handle. A message with a malformed body is
// logged and dropped.
func HandleBody[B any](message Message, out *Output, handle func(B)) {
	if body, ok := Decode[B](message, out); ok {
		handle(body)
	}
}
