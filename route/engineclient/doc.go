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
// Every read is bounded, so a faulty engine cannot fill the node's memory.
//
// A slot of an engine is its capacity to run one request. A chain is the sequence of
// engines that together hold all layers of a model; the first engine receives the request.
// An epoch is one attempt to run a stream's request on a chain.
package engineclient
