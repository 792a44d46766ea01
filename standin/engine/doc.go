// Package engine is a stand-in for a model engine that holds a range of
// layers. It lets tests and demonstrations run a whole pipeline on one
// machine, and fail its parts on purpose.
//
//	srv, err := engine.Start("127.0.0.1:0", engine.Config{
//		Model: "toy", First: 0, Last: 3, Version: 1, Slots: 8,
//	})
//	defer srv.Close()
//	srv.Engine.SetFaults(engine.Faults{Freeze: true})
//
// The first engine of a chain receives the chat request, runs its layers for
// each token, calls the next stage and sends the token on when the last stage
// has answered. The model is a toy, but every layer mixes the hidden state, so
// a token made with a layer skipped, repeated or out of order has other bytes,
// and each token depends on those before it, so a resumption that loses or
// repeats one is seen in all that follow. Answer computes what an undisturbed
// pipeline says.
package engine
