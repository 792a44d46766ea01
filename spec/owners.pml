/*
 * Order claims that go to another node: the model of claims.pml with two
 * requests, of which the first one's node asks the owner of the shard to claim
 * for it, under the request's own id, and then, hearing nothing, claims by
 * itself. One claim is made twice through two nodes. The owner acts on it never
 * or at any later time, also after the request has ended. That nodes differ over
 * the owner is the same: each claim is a compare-and-swap.
 *
 * Not modelled: a third request (with it the search does not end in 1 GB), and
 * that a claim whose request has ended is not written any more or is voided
 * (operation.until and astray, state/ledger): these keep an order from being
 * in doubt though nobody sent it, not from being placed twice.
 *
 * Safeguards, in state/ledger; those of claims.pml hold here too:
 *   OWNER_RELEASES  the owner never gives back a claim that it made for another
 *                  node (machine.orphan, machine.settle); without it a request
 *                  sends on a claim that the owner then frees for the second.
 *   SILENCE_FRESH  silence from the owner is no claim (queue.take); without it
 *                  a request sends while the other one has the claim.
 * Reachable, or the model would prove nothing: REACH_DONE, REACH_RELEASED and
 * REACH_BY_OWNER (a request sends on a claim that the owner made).
 *
 * variants: OWNER_RELEASES SILENCE_FRESH NO_CAS NO_READBACK TAKE_OVER EARLY_RELEASE REACH_DONE REACH_RELEASED REACH_BY_OWNER
 */
#define REQUESTS 2
#define ASKING
#include "claims.pml"
