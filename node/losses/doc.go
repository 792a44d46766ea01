// Package losses reads the nodes' structured logs and tells, for each request that was
// late, refused or failed, what did that: one cause each, by stated rules.
//
// Use: give every log file to Read, in any order, and take the Report. A request's
// lines all stand in one node's log, so a file may hold one node's lines or many
// nodes' mixed, with any text before each line's first brace.
//
//	r := losses.NewReader()
//	err := r.Read("vm1.log", file)
//	report := r.Report()
//
// A log is read as a stream. What is kept is the requests underway, the losses, and
// some seconds of what replicas did; it does not grow with the lines that went well.
//
// # Rules
//
// The first that holds gives the cause:
//
//  1. The request's end names it: the configuration was not proved or not known, the
//     node was leaving, no endpoint had room, some layer had no holder, the budget of
//     tries was spent, the service was saturated and the request was shed, the endpoint
//     itself failed, its caller left. An answer was cut after the node had ended an attempt
//     because its replica was silent.
//  2. A stream that paused: the longest pause contains a way around a lost part. If more
//     of it went by before the order was taken than after, the part was noticed late;
//     else the links were busy if the way crosses failure domains, and the rest was
//     spent on reading again.
//  3. The request was tried more than once: what ended the try before.
//  4. It waited for room, or for the budget of tries, for most of what it was late by.
//  5. A replica of its path says that it is slower than its kind.
//  6. The node itself stood still meanwhile.
//  7. Streams were led around in the same seconds: replicas read their prompts again
//     between the steps of all others.
//  8. A good part of all nodes had started again some seconds before: replicas still run what
//     the lost ones had begun, and read the prompts of all who come back at once.
//  9. Else it is unexplained.
//
// Each arrival of a request counts by its own end. A caller that was shed and is refused for
// another reason when it returns is two losses: the first was shed under load, and the second
// has the cause of that reason.
//
// Keep has requests of one cause kept, with the lines that decided about them: from a
// table the way goes on to a request's id, and to the node that served it.
//
// A request that was underway on a node when that started anew was lost with the node.
package losses
