// Package engineclient is the client of one model engine.
//
//	client := engineclient.New(nil)
//	stream, err := client.Open(ctx, address, request)
//	if engineclient.NotRun(err) {
//		// The engine provably did nothing: try another one.
//	}
//	defer stream.Close()
//	for {
//		event, err := stream.Next()
//		...
//	}
//
// The failure that it answers: after a failed send nobody knows whether the
// engine has begun, and a caller who is told "not run" must be able to rely on
// it. Every error therefore carries a state: not run, when no byte could have
// reached the engine or the engine said so itself, and unknown otherwise.
// Every read is bounded, so a faulty engine cannot fill the node's memory.
package engineclient
