/**
 * @file
 * Script interpreter for tests of the request dispatcher.
 *
 *   endpoints NAME N CAPACITY  adds N endpoints NAME1.. of the plain service
 *   replicas NAME N CAPACITY   adds N replicas of the model "m"
 *   close SERVER               the endpoint accepts no new requests
 *   nodes N [KNOWN]            sets the numbers of linked and of known nodes
 *   peer-load SERVER N STREAMING
 *                              another node reports N requests there; that
 *                              many are streams that received an event now
 *
 *   peer-load-late SERVER N MS the same of N streams, reported MS ago
 *   peer-ended SERVER          another node reports that the process ended
 *   submit ID ROUTE [DIGEST]   a request; ROUTE is stream, once (at most once)
 *                              or safe (idempotent), each with two attempts,
 *                              or stream3 or safe3, with three, stream1 or
 *                              once1, with one, or tell, a stream that can't
 * be resumed; DIGEST is a number, by default one that no other request has.
 * Letters after a dot are parts of its prompt: "7.KN"
 *
 *   submit-late ID ROUTE       the same, from a client that has already waited
 *                              as long as the latency goal
 *   submit-low ID ROUTE        the same, with the next lower priority
 *   limit SERVER RATE          the server accepts RATE requests per second;
 *                              "none" removes the limit
 *   cold SERVER MS             the server is cold for MS and tolerates 26
 *                              requests per second
 *   permit SERVER              grants this node a permit for one request
 *   pause SERVER MS            a response of the server asks for a pause
 *   leave SERVER               a response announces the server's shutdown
 *   form-again SERVER          it leads the next generation of its replica
 *   zone SERVER ZONE           the server is in this zone; "z" by default
 *   evacuate|return ZONE       the evacuation of the zone begins, or ends
 *   unlist SERVER              the server is removed from the list
 *   proxies N [cut]            N other nodes may send requests on; cut: they
 *                              reach no server either
 *   proxied|direct             requests from now on come from another node,
 *                              from clients
 *   cut-off SERVICE            logs whether this node doesn't reach the
 *                              service, but another node does
 *   demand                     logs the demand for the model
 *   denied                     logs how many retries the budget has denied
 *   own-ended                  logs "ended SERVER" for each server that this
 *                              node reports as ended
 *
 *   delays                     retry delays are logged from now on
 *
 *   sent|connect-failed|ok|error|final|not-executed|event|bytes|complete
 *   |interrupted|closed|closed-empty|client-gone ID
 *                              event of the request's latest attempt, or of
 *                              attempt N of "ID.N"; bytes: they complete no
 *                              event; closed: its response ended with the
 *                              connection
 *   crashed|refused|alive|unknown SERVER
 *                              result of the check of the server's process
 *   block DIGEST               the request is blocked, as it crashes servers
 *   block-part LETTER          the same of a part
 *   run MS                     advances the time in steps of 20 ms
 *   run-events MS ID           advances the time, with ticks when due and an
 *                              event of the stream every 10 ms
 *   suspend MS                 the process is suspended, then a tick comes
 *   shutdown                   the node shuts down
 *
 * The log has a line for each action: "send ID SERVER [resume] [pN]", with the
 * priority if it is not 1, "cancel ID", or "cancel ID.N" of an attempt before
 * the latest, "forward ID", "complete ID", "truncate
 * ID CODE", "error ID CODE STATUS [retry [MS]]", "stalled SERVER" and "check
 * SERVER".
 */
#ifndef LAPISLINE_T_LIB_DISPATCH_H
#define LAPISLINE_T_LIB_DISPATCH_H

/** Runs @p script and compares the log with @p expected.  If no request is
   open at the end, no endpoint may have any load. */
void dispatch_play (const char *script, const char *expected);

#endif
