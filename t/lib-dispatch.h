/**
 * @file
 * The request core of a node on a platform, driven by a script.
 *
 *   places NAME N CAPACITY   N places NAME1.. of service NAME
 *   streams NAME N CAPACITY  the same with the model "m"
 *   closed PLACE             it gets nothing new
 *   nodes N                  nodes that share the budget of repeats
 *   others PLACE N BEGUN     another node has N there, BEGUN of them streams
 *                            that had an event just now
 *   ended PLACE              another node has found its process gone
 *   ask ID ROUTE [DIGEST]    a request; ROUTE is stream, once or safe; DIGEST
 *                            is a number, without it that of no other
 *   late ID ROUTE            the same from a caller that has waited its goal
 *                            before
 *   minor ID ROUTE           the same, less urgent
 *   limit PLACE RATE         its server takes so many requests a second;
 *                            "none": any
 *   permit PLACE             this node may send one there
 *   sent|failed|good|error|final|unrun|event|whole|broken|gone ID
 *   crashed|alive|unknown PLACE   what a check of its server has found
 *   blocked DIGEST           servers crash when they run it
 *   busy MS ID               time passes, a tick comes when the core asks for
 *                            one, and that stream has an event every 10 ms
 *   run MS                   time passes in steps of 20 ms
 *   pause MS                 the process stands still, then a tick comes
 *   leave
 *
 * The log has a line for each action: "send ID PLACE [resume] [pN]" with the
 * priority where it is not the usual, "cancel", "pass", "end", "cut CODE",
 * "answer CODE STATUS [retry]".
 */
#ifndef LAPISLINE_T_LIB_DISPATCH_H
#define LAPISLINE_T_LIB_DISPATCH_H

/** Play @p script and compare the log with @p expected. */
void dispatch_play (const char *script, const char *expected);

#endif
