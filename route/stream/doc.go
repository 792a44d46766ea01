// Package stream carries one answer from chains of model engines to a caller.
//
//	runner := stream.New(engineclient.New(nil), chooser, stream.Options{})
//	defer runner.Close(ctx)
//	summary, err := runner.Run(ctx, stream.Request{
//		Stream: "s-17", Layers: 8, Chat: chat,
//	}, func(token string, trace engineapi.TokenTrace) error {
//		return writeToCaller(token)
//	})
//
// The failures that it answers: a stage of a chain dies, freezes, is cut off
// or turns slow partway; an engine skips or repeats a layer, answers for
// another stream, or goes on sending after it was given up. Each try of a
// chain is an epoch of the stream. Check lets a token through only if its
// spans cover every layer once, in order, for this stream, epoch and position.
// When an epoch fails, the next one runs on another chain and resumes after
// the last token delivered, so the caller sees one whole answer, byte for byte
// the undisturbed one. The Runner needs no knowledge of who is alive: it acts
// on what reaches it, and what it cannot prove it calls unknown.
//
// One Runner serves the replicas of one model; what it learns of their speed
// is kept for all streams.
package stream
