#include "control/admin.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#define BYTES "lapisline_control_bytes_total"
#define BYTES_HELP "Bytes by mechanism and direction."
#define MESSAGES "lapisline_control_messages_total"
#define MESSAGES_HELP "Messages by mechanism and direction."
#define STORE "lapisline_control_store_calls_total"
#define STORE_HELP "Calls of the store by kind."
#define ENDS "lapisline_control_store_ends_total"
#define ENDS_HELP "Calls of the store that had no plain success, by end."
#define SWIM "lapisline_control_swim_events_total"
#define SWIM_HELP "Packets dropped and changes of opinion in membership."

static void
set_counter (struct ctl *c, const char *name, const char *help,
             const char *labels, uint64_t value)
{
  met_set (met_counter (c->met, name, help, labels), (double)value);
}

static void
export_swim (struct ctl *c)
{
  const struct mbr_counts *n = ctl_swim_counts (c->swim);
  set_counter (c, BYTES, BYTES_HELP, "mechanism=\"swim\",direction=\"out\"",
               n->bytes_out);
  set_counter (c, BYTES, BYTES_HELP, "mechanism=\"swim\",direction=\"in\"",
               n->bytes_in);
  set_counter (c, MESSAGES, MESSAGES_HELP,
               "mechanism=\"swim\",direction=\"out\"", n->sent);
  set_counter (c, MESSAGES, MESSAGES_HELP,
               "mechanism=\"swim\",direction=\"in\"", n->received);
  set_counter (c, SWIM, SWIM_HELP, "event=\"bad-mac\"", n->bad_mac);
  set_counter (c, SWIM, SWIM_HELP, "event=\"malformed\"", n->malformed);
  set_counter (c, SWIM, SWIM_HELP, "event=\"replayed\"", n->replayed);
  set_counter (c, SWIM, SWIM_HELP, "event=\"foreign\"", n->foreign);
  set_counter (c, SWIM, SWIM_HELP, "event=\"suspected\"", n->suspected);
  set_counter (c, SWIM, SWIM_HELP, "event=\"refuted\"", n->refuted);
  set_counter (c, SWIM, SWIM_HELP, "event=\"died\"", n->died);
  set_counter (c, SWIM, SWIM_HELP, "event=\"self-suspected\"",
               n->self_suspected);
  set_counter (c, SWIM, SWIM_HELP, "event=\"paused\"", n->pauses);
}

static void
export_store (struct ctl *c)
{
  const struct store_counts *n = store_counts (c->store);
  set_counter (c, STORE, STORE_HELP, "kind=\"range\"", n->ranges);
  set_counter (c, STORE, STORE_HELP, "kind=\"txn\"", n->txns);
  set_counter (c, STORE, STORE_HELP, "kind=\"grant\"", n->grants);
  set_counter (c, STORE, STORE_HELP, "kind=\"keep\"", n->keeps);
  set_counter (c, STORE, STORE_HELP, "kind=\"revoke\"", n->revokes);
  set_counter (c, STORE, STORE_HELP, "kind=\"watch\"", n->watches);
  set_counter (c, ENDS, ENDS_HELP, "end=\"over-budget\"", n->over_budget);
  set_counter (c, ENDS, ENDS_HELP, "end=\"uncertain\"", n->uncertain);
  set_counter (c, ENDS, ENDS_HELP, "end=\"unavailable\"", n->unavailable);
  set_counter (c, ENDS, ENDS_HELP, "end=\"conflict\"", n->conflicts);
}

static void
export_views (struct ctl *c)
{
  uint64_t out;
  uint64_t in;
  ctl_views_traffic (c->views, &out, &in);
  set_counter (c, BYTES, BYTES_HELP, "mechanism=\"view\",direction=\"out\"",
               out);
  set_counter (c, BYTES, BYTES_HELP, "mechanism=\"view\",direction=\"in\"",
               in);
  met_set (met_gauge (c->met, "lapisline_control_gateway_linked",
                      "Whether this node's gateway is linked.", NULL),
           ctl_views_linked (c->views));
}

static void
export_peers (struct ctl *c)
{
  uint64_t out;
  uint64_t in;
  size_t links = ctl_peers_traffic (c->peers, &out, &in);
  set_counter (c, BYTES, BYTES_HELP, "mechanism=\"peer\",direction=\"out\"",
               out);
  set_counter (c, BYTES, BYTES_HELP, "mechanism=\"peer\",direction=\"in\"",
               in);
  met_set (met_gauge (c->met, "lapisline_control_peer_links",
                      "Linked control processes.", NULL),
           (double)links);
}

static void
export_nodes (struct ctl *c)
{
  static const char *const labels[] = {
    [MBR_ALIVE] = "status=\"alive\"",
    [MBR_SUSPECT] = "status=\"suspect\"",
    [MBR_LEAVING] = "status=\"leaving\"",
    [MBR_DEAD] = "status=\"dead\"",
  };
  size_t by_status[4] = { 0 };
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);
  for (size_t i = 0; i < n; i++)
    by_status[nodes[i]->status]++;
  for (size_t i = 0; i < 4; i++)
    met_set (met_gauge (c->met, "lapisline_control_nodes",
                        "Nodes known, by status.", labels[i]),
             (double)by_status[i]);
}

static void
export_replicas (struct ctl *c)
{
  size_t n;
  size_t complete = 0;
  clk_ms now = clk_now ();
  const struct ctl_replica *all = ctl_domains_replicas (c->domains, &n);
  for (size_t i = 0; i < n; i++)
    complete += all[i].complete && all[i].valid_until > now;
  met_set (met_gauge (c->met, "lapisline_control_replicas",
                      "Replicas known to this node.", NULL),
           (double)n);
  met_set (met_gauge (c->met, "lapisline_control_replicas_whole",
                      "Replicas with evidence that every VM is up.", NULL),
           (double)complete);
}

static double
cpu_seconds (void)
{
  struct rusage use;
  getrusage (RUSAGE_SELF, &use);
  return (double)(use.ru_utime.tv_sec + use.ru_stime.tv_sec)
         + (double)(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1e6;
}

static double
resident_bytes (void)
{
  long pages = 0;
  FILE *f = fopen ("/proc/self/statm", "r");
  if (!f)
    return 0;
  if (fscanf (f, "%*s %ld", &pages) != 1)
    pages = 0;
  fclose (f);
  return (double)pages * (double)sysconf (_SC_PAGESIZE);
}

static void
export_process (struct ctl *c)
{
  met_set (met_counter (c->met, "lapisline_control_cpu_seconds_total",
                        "Processor time of this process.", NULL),
           cpu_seconds ());
  met_set (met_gauge (c->met, "lapisline_control_resident_bytes",
                      "Resident memory of this process.", NULL),
           resident_bytes ());
  met_set (met_gauge (c->met, "lapisline_control_config_revision",
                      "Configuration revision of this process.", NULL),
           c->cfg ? (double)c->cfg->revision : 0);
}

void
adm_write_metrics (struct ctl *c, struct buf *out)
{
  export_swim (c);
  export_store (c);
  export_views (c);
  export_peers (c);
  export_nodes (c);
  export_replicas (c);
  export_process (c);
  met_expose (c->met, out);
}
