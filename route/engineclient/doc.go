// Package engineclient is the HTTP client of model engines.
//
//	client := engineclient.New(nil)
//	stream, err := client.Open(ctx, address, request)
//	if engineclient.NotRun(err) {
//		// The engine did not run the request: send it to another engine.
//	}
//	defer stream.Close()
//	for {
//		event, err := stream.Next()
//		...
//	}
//
// # Why errors carry a state
//
// After a failed send the router does not know whether the engine has started to run
// the request, but a caller must be able to rely on the answer "not run". Every error
// of this package therefore carries a state. The state is "not run" if no byte can
// have reached the engine, or if the engine says that it did not run the request.
// Otherwise the state is unknown.
//
// # Contract of an answer
//
// The answer to a chat request is a stream of server-sent events
// (https://html.spec.whatwg.org/multipage/server-sent-events.html) in the form of chat completions. A
// faulty engine may send other bytes between its events. What breaks the contract is a *Violation and no
// part of the answer. It need not end the answer: each token names its stream, epoch and position, and the
// closing event their number, so that what follows shows whether a token was lost.
//
//   - An empty line ends an event, and so does the end of a body that is complete. Lines end with LF, CRLF
//     or CR. A byte order mark may precede the first line.
//   - A line is a comment, which begins with a colon, or a field: a name, a colon and a value. Names are
//     lower-case letters, digits and hyphens. The fields of the standard may lack the colon and the value.
//     All fields but data are ignored, as are events without data.
//   - The data of an event, its lines joined by line feeds, is the closing marker or a JSON text, in
//     UTF-8, of an object with exactly one choice, whose index is 0 or left out, and with a trace that
//     states a position. Other fields are ignored. Names are compared and repeated names merged as
//     encoding/json does it. A token may have an empty text.
//   - Which stream, epoch, position and layers the trace must name, package stream says (TokenCheck).
//   - The closing event has a finish reason and no token. The reason has at most 32 lower-case letters
//     and underscores. The event's position is the number of tokens before it. It alone makes an answer
//     complete; the marker without it does not.
//   - A line or an event is shorter than MaxEventBytes. What is longer ends the answer.
//   - Behind the closing event come the marker and the end of the body. A token of the same epoch between
//     the two shows that the closing event was none. Other bytes there are ignored, and their connection is
//     not reused.
//
// An answer that ends in the middle of an event is ErrTruncated and no violation, as an engine that ends
// may break off anywhere.
//
// The answer to any other call is exactly one JSON object.
//
// Every read is bounded, so a faulty engine cannot fill the node's memory.
//
// A slot of an engine is its capacity to run one request. A chain is the sequence of
// engines that together hold all layers of a model; the first engine receives the request.
// An epoch is one attempt to run a stream's request on a chain.
package engineclient
