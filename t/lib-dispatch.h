/**
 * @file
 * Drives the request dispatcher by a script.
 *
 *   places NAME N CAPACITY   adds N endpoints NAME1.. of the plain service
 *   streams NAME N CAPACITY  adds N replicas of the model "m"
 *   closed PLACE             the endpoint accepts no new requests
 *   nodes N                  number of nodes that share the retry budget
 *   others PLACE N BEGUN     another node reports N requests there, BEGUN of
 *                            them streams that received an event just now
 *   ended PLACE              another node reports that the process ended
 *   ask ID ROUTE [DIGEST]    a request; ROUTE is stream, once (not idempotent)
 *                            or safe (idempotent); DIGEST is a number, by
 *                            default one that no other request has
 *   late ID ROUTE            the same, from a client that has already waited
 *                            as long as the latency goal
 *   minor ID ROUTE           the same, with the next lower priority
 *   limit PLACE RATE         the server takes RATE requests per second; "none"
 *                            ends the limit
 *   permit PLACE             grants this node a permit for one request
 *   sent|failed|good|error|final|unrun|event|whole|broken|gone ID
 *                            event of the request's current attempt
 *   crashed|alive|unknown PLACE   result of the check of the server's process
 *   blocked DIGEST           the request is blocked, as it crashes servers
 *   busy MS ID               time passes, with ticks when the dispatcher asks
 *                            for them, and an event of the stream every 10 ms
 *   run MS                   time passes in steps of 20 ms
 *   pause MS                 the process is suspended, then a tick comes
 *   leave                    the node shuts down
 *
 * The log has a line for each action: "send ID PLACE [resume] [pN]", with the
 * priority if it is not 1, "cancel", "pass", "end", "cut CODE", "answer CODE
 * STATUS [retry]", "stalled PLACE" and "check PLACE".
 */
#ifndef LAPISLINE_T_LIB_DISPATCH_H
#define LAPISLINE_T_LIB_DISPATCH_H

/** Runs @p script and compares the log with @p expected. */
void dispatch_play (const char *script, const char *expected);

#endif
