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
// after the last delivered token. The caller receives one complete answer, byte for
// byte the same as without the failure. The Runner uses no membership or health
// state and acts only on the responses that it receives. If it cannot prove what an
// engine did, it reports the outcome as unknown.
//
// One Runner serves the replicas of one model. The token gaps and resume times
// that it measures are shared by all streams.
//
// # Terms
//
// A chain is the engines that together run a replica of the model. Each engine is a
// stage, which holds a range of the layers. The plan says which layers, weights and
// adapters the engines of a replica should hold. The plan's placement version grows with
// each change of the plan.
//
// An order tells an engine what to hold. Orders and streams carry the plan's version
// as a fencing number. An engine that checks this number refuses outdated orders and
// streams, but some engines ignore it.
//
// An engine report is an engine's reply to the question what it holds. A load report says
// how busy an engine is.
//
// An engine keeps the KV cache of prompts in its prefix cache. A cache event is an
// engine's message that it has stored a prefix of a prompt in this cache or removed one.
//
// An export makes the KV cache of a stream on a failed chain available to other chains. The
// failed chain replies with a handle. In an import, the next chain receives this handle
// with the request and loads the KV cache instead of recomputing the context, which is the
// prompt and the answer so far.
//
// A span in the event of a token says which layers a stage ran for the token, with which
// artifact (weights and adapter), and how long the stage took. The position of a token is
// the token's number in the answer, counted from zero over all epochs.
//
// The closing event of an answer follows the last token. The event's finish reason says why
// the answer ended, and the event's position is the number of tokens of the answer. After
// the closing event, the engine sends the line [DONE] and the end of the response body.
//
// The gap of a token is the time since the token before it. A chain is stalled if no
// token arrives within the stall timeout, which adapts to the chain's gaps. Before
// the first token, probes are sent along the chain. A chain that shows neither a
// probe reply nor a token for too long is unresponsive.
//
// The baseline gap of an epoch is the chain's mean gap at the start of the epoch. If no
// gap of the chain was known then, the mean of the epoch's first gaps is used. A chain whose
// gaps grow far above the baseline gap is slow, although it may not be stalled.
package stream
