// Package stream carries one answer from chains of model engines to a caller.
//
//	runner := stream.New(engineclient.New(nil), chooser, stream.Options{})
//	defer runner.Close(ctx)
//	summary, err := runner.Run(ctx, stream.Request{
//		StreamID: "s-17", Layers: 8, Chat: chat,
//	}, func(token string, trace engineapi.TokenTrace) error {
//		return writeToCaller(token)
//	})
//
// # Failures handled
//
// In the middle of an answer a stage of a chain crashes, freezes, becomes
// unreachable or turns slow. An engine skips or repeats a layer, sends tokens of
// another stream, or keeps sending after the stream was moved to another chain.
//
// Each attempt on a chain is an epoch of the stream. TokenCheck accepts a token
// only if its spans cover every layer once, in order, for this stream, epoch and
// position. When an epoch fails, the next epoch runs on another chain and resumes
// after the last delivered token, so the caller receives one complete answer, byte
// for byte the same as without the failure. The Runner uses no membership or
// health state: it acts on the responses it receives, and reports the outcome as
// unknown when it cannot prove what an engine did.
//
// One Runner serves the replicas of one model. The token gaps and resume times
// that it measures are shared by all streams.
package stream
