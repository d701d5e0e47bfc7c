#include <stdio.h>

#include "serve/node-int.h"

#define PREFIX "lapisline_serve_"

void
srv_metrics_start (struct srv *s)
{
  s->metrics = met_new ();
}

void
srv_metrics_request (struct srv *s, const char *kind, int status,
                     const char *code, clk_ms ms)
{
  char labels[128];

  snprintf (labels, sizeof labels, "kind=\"%s\",status=\"%d\",code=\"%s\"",
            kind, status, code);
  met_add (met_counter (s->metrics, PREFIX "requests_total",
                        "Answers by kind of request, status and code; status "
                        "0: the caller left.",
                        labels),
           1);
  snprintf (labels, sizeof labels, "kind=\"%s\"", kind);
  met_observe (met_histogram (s->metrics, PREFIX "request_ms",
                              "Time from the whole request to the end of its "
                              "answer.",
                              labels),
               (double)ms);
}

void
srv_metrics_first_event (struct srv *s, clk_ms ms)
{
  met_observe (met_histogram (s->metrics, PREFIX "first_event_ms",
                              "Time from the whole request to the first event "
                              "of its answer.",
                              NULL),
               (double)ms);
}

void
srv_metrics_client_left (struct srv *s)
{
  met_add (met_counter (s->metrics, PREFIX "clients_left_unread_total",
                        "Requests whose clients had disconnected before the "
                        "request was read.",
                        NULL),
           1);
}

/** Set a gauge to a value that another module maintains. */
static void
gauge (struct srv *s, const char *name, const char *help, const char *labels,
       double value)
{
  met_set (met_gauge (s->metrics, name, help, labels), value);
}

static void
set_dispatch (struct srv *s)
{
  const struct dsp_stats *f = dsp_stats (s->dispatch);
  uint64_t unreachable[DSP_UNREACHABLE_MAX];

  gauge (s, PREFIX "open", "Requests that have not ended.", NULL,
         (double)dsp_count_open (s->dispatch));
  gauge (s, PREFIX "attempts_sent", "Attempts whose bytes went out.", NULL,
         (double)f->sent);
  gauge (s, PREFIX "attempts_proxied", "Of these, sent through another node.",
         NULL, (double)f->proxied);
  gauge (s, PREFIX "services_unreachable",
         "Services of which this node reaches no backend server.", NULL,
         (double)dsp_unreachable_services (s->dispatch, unreachable,
                                           DSP_UNREACHABLE_MAX));
  gauge (s, PREFIX "attempts_repeated", "Of these, beyond a request's first.",
         NULL, (double)f->retried);
  gauge (s, PREFIX "repeats_denied", "Repeats that the budget did not allow.",
         NULL, (double)f->retries_denied);
  gauge (s, PREFIX "hedges",
         "Second attempts begun beside one that was suspected.", NULL,
         (double)f->hedged);
  gauge (s, PREFIX "hedges_unneeded",
         "Requests whose suspected attempt went on before the second one.",
         NULL, (double)f->hedges_unneeded);
  gauge (s, PREFIX "streams_resumed", "Streams that went on elsewhere.", NULL,
         (double)f->resumed);
  gauge (s, PREFIX "stalls", "Places at which nothing moved.", NULL,
         (double)f->stalls);
  gauge (s, PREFIX "requests_blocked",
         "Requests that are refused as servers crash when they run them.",
         NULL, (double)psn_count_blocked (s->poison, false));
  gauge (s, PREFIX "parts_blocked",
         "Parts of prompts whose requests are refused as servers crash.", NULL,
         (double)psn_count_blocked (s->poison, true));
  gauge (s, PREFIX "servers_ended",
         "Backend servers whose process ended under requests of this node.",
         NULL, (double)f->servers_ended);
  gauge (s, PREFIX "zones_evacuated", "Evacuated availability zones.", NULL,
         s->evacuations ? (double)evc_count (s->evacuations) : 0);
  gauge (s, PREFIX "requests_evacuated",
         "Requests not sent because availability zones are evacuated.", NULL,
         (double)f->evacuated);
  gauge (s, PREFIX "ejections",
         "Places that failed and got nothing for a while.", NULL,
         (double)f->ejections);
}

static void
set_limits (struct srv *s)
{
  struct lim_stats f = lim_stats (s->limits, clk_now ());

  gauge (s, PREFIX "servers_limited",
         "Backend servers that have named the request rate that they take.",
         NULL, (double)f.limited);
  gauge (s, PREFIX "sent_limited", "Requests sent to such servers.", NULL,
         (double)f.sent);
  gauge (s, PREFIX "servers_cold", "Backend servers that are cold.", NULL,
         (double)f.cold);
  gauge (s, PREFIX "sent_cold", "Requests sent to cold backend servers.", NULL,
         (double)f.cold_sent);
  gauge (s, PREFIX "permits_granted_cold",
         "Permits for requests to cold servers, by this node.", NULL,
         (double)f.cold_granted);
  gauge (s, PREFIX "permits_granted",
         "Permits for such requests, by this node.", NULL, (double)f.granted);
  gauge (s, PREFIX "permits_followers",
         "Nodes that take their permits from this one.", NULL,
         (double)f.followers);
}

static void
set_avail (struct srv *s)
{
  struct avl_stats f = avl_stats (s->avail, clk_now ());

  gauge (s, PREFIX "servers_paused",
         "Backend servers that have asked this node to send nothing for a "
         "while.",
         NULL, (double)f.paused);
  gauge (s, PREFIX "servers_leaving",
         "Backend servers that have announced that they shut down.", NULL,
         (double)f.leaving);
  gauge (s, PREFIX "pauses_asked", "Answers that asked for a pause.", NULL,
         (double)f.pauses);
  gauge (s, PREFIX "sent_paused",
         "Requests, orders and probes sent to servers in a pause.", NULL,
         (double)f.sent_paused);
  gauge (s, PREFIX "sent_leaving",
         "Requests, orders and probes sent to servers that were leaving.",
         NULL, (double)f.sent_leaving);
}

static void
set_connections (struct srv *s)
{
  static const char name[] = PREFIX "client_connections";
  static const char help[]
      = "Client connections, with a request that is answered and without.";
  struct httpd_stats f = httpd_stats (s->client_listener);

  gauge (s, name, help, "state=\"active\"", (double)(f.connections - f.idle));
  gauge (s, name, help, "state=\"idle\"", (double)f.idle);
  gauge (s, PREFIX "client_connections_max",
         "Limit on the number of client connections.", NULL, (double)f.max);
  gauge (s, PREFIX "client_connections_full",
         "Whether clients wait to be accepted, as the limit is reached.", NULL,
         f.full);
  gauge (s, PREFIX "client_bytes_received",
         "Bytes of incomplete requests and of the bodies in use, without the "
         "first 16 KB of each connection.",
         NULL, (double)f.received);
  gauge (s, PREFIX "client_requests_refused_unread",
         "Requests refused while they were received.", NULL,
         (double)f.refusals);
}

static void
set_store (struct srv *s)
{
  static const char name[] = PREFIX "store_calls";
  static const char help[] = "Calls to the store by kind, and what they met.";
  const struct store_counts *n = store_counts (s->store);

  gauge (s, name, help, "kind=\"range\"", (double)n->ranges);
  gauge (s, name, help, "kind=\"txn\"", (double)n->txns);
  gauge (s, name, help, "kind=\"grant\"", (double)n->grants);
  gauge (s, name, help, "kind=\"keep\"", (double)n->keeps);
  gauge (s, name, help, "kind=\"watch\"", (double)n->watches);
  gauge (s, name, help, "met=\"over_budget\"", (double)n->over_budget);
  gauge (s, name, help, "met=\"uncertain\"", (double)n->uncertain);
  gauge (s, name, help, "met=\"unavailable\"", (double)n->unavailable);
  gauge (s, name, help, "met=\"conflict\"", (double)n->conflicts);
}

static void
set_state (struct srv *s)
{
  const struct frm_stats *f = srv_leader_stats (s);
  size_t n;

  bks_list (s->backends, &n);
  gauge (s, PREFIX "config_version", "Version in force; 0: none.", NULL,
         s->active_config ? (double)s->active_config->version : 0);
  gauge (s, PREFIX "config_age_ms",
         "Time since it was last known to be the newest; -1: never.", NULL,
         (double)srv_config_age (s, clk_now ()));
  gauge (s, PREFIX "servers", "Backend servers in the list.", NULL, (double)n);
  gauge (
      s, PREFIX "store_era",
      "How often the store has come back from an older copy of its data, as "
      "it counts; 0: not known.",
      NULL, (double)store_era (s->store));
  gauge (
      s, PREFIX "entries_not_taken",
      "Entries of the list that can't be read, at this node's last reading.",
      NULL, (double)srv_sync_unparsed (s));
  gauge (s, PREFIX "servers_age_ms", "Age of that list; -1: none.", NULL,
         (double)srv_sync_list_age (s, clk_now ()));
  gauge (s, PREFIX "servers_differed",
         "Reports of the leader about a list that differed from this node's.",
         NULL, (double)srv_sync_lists_differed (s));
  gauge (s, PREFIX "nodes", "Nodes that are linked, this one included.", NULL,
         srv_peers_count_nodes (s));
  gauge (s, PREFIX "ready", "Whether callers are sent here.", NULL,
         srv_is_ready (s));
  gauge (s, PREFIX "duty", "Whether this node forms replicas.", NULL,
         srv_is_leader (s));
  gauge (s, PREFIX "replicas",
         "Replicas by state, where this node forms them.", "state=\"open\"",
         f->open);
  gauge (s, PREFIX "replicas",
         "Replicas by state, where this node forms them.", "state=\"forming\"",
         f->forming);
  gauge (s, PREFIX "replicas",
         "Replicas by state, where this node forms them.", "state=\"closing\"",
         f->closing);
  gauge (s, PREFIX "spares", "VMs in no replica, and those warm for one.",
         NULL, f->spares);
  gauge (s, PREFIX "loads", "Loads of weights ordered.", NULL,
         (double)f->loads);
  gauge (s, PREFIX "orders", "Orders to backend servers.", NULL,
         (double)f->orders);
}

static void
set_models (struct srv *s)
{
  struct frm_model list[FRM_MODEL_ROWS];
  size_t n = srv_leader_models (s, list);
  char labels[256];

  for (size_t i = 0; i < n; i++)
    {
      snprintf (labels, sizeof labels, "service=\"%.*s\",model=\"%.*s\"",
                STR_ARG (list[i].service), STR_ARG (list[i].name));
      gauge (s, PREFIX "replicas_wanted",
             "Replicas that the plans of all domains have, by model.", labels,
             list[i].planned);
      gauge (s, PREFIX "replicas_formed",
             "Replicas that are open or on their way, by model.", labels,
             list[i].open_or_forming);
      gauge (s, PREFIX "requests_asked",
             "Requests under way or waiting at all nodes, averaged, by model.",
             labels, list[i].requests);
      gauge (s, PREFIX "model_utilization",
             "Requests divided by the slots of the planned replicas, less "
             "those that are expected to be broken, by model.",
             labels, list[i].utilization);
      gauge (s, PREFIX "plan_by_demand",
             "Whether the plan by demand has changed that of a domain.",
             labels, list[i].by_demand);
      gauge (s, PREFIX "replicas_yielded",
             "Replicas that closed for one of another model.", labels,
             (double)list[i].reassigned);
    }
}

void
srv_metrics_expose (struct srv *s, struct buf *out)
{
  set_dispatch (s);
  set_limits (s);
  set_avail (s);
  set_connections (s);
  set_store (s);
  set_state (s);
  set_models (s);
  met_expose (s->metrics, out);
}
