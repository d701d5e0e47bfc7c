#include "route/route.h"

static const char *const outcome_names[]
    = { "done", "not-run", "failed", "unknown" };

struct code_row
{
  const char *name;
  int status;
};

static const struct code_row codes[] = {
  [RT_CODE_NONE] = { "none", 200 },
  [RT_CODE_NO_TARGET] = { "no-target", 404 },
  [RT_CODE_FORBIDDEN] = { "forbidden", 403 },
  [RT_CODE_NOT_ROUTED] = { "not-routed", 503 },
  [RT_CODE_RATE] = { "rate-limit", 429 },
  [RT_CODE_CONCURRENCY] = { "concurrency-limit", 429 },
  [RT_CODE_QUEUE_FULL] = { "queue-full", 503 },
  [RT_CODE_DEADLINE] = { "deadline", 504 },
  [RT_CODE_NO_REPLICA] = { "no-replica", 503 },
  [RT_CODE_LEAVING] = { "leaving", 503 },
  [RT_CODE_CONNECT] = { "connect-failed", 503 },
  [RT_CODE_BROKEN] = { "broken", 502 },
  [RT_CODE_SILENT] = { "silent", 504 },
  [RT_CODE_STORE] = { "store-unavailable", 503 },
  [RT_CODE_CLAIM_RUNNING] = { "key-running", 409 },
  [RT_CODE_CLAIM_UNKNOWN] = { "key-unknown", 409 },
  [RT_CODE_CLAIM_MISMATCH] = { "key-mismatch", 422 },
  [RT_CODE_BACKEND_REFUSED] = { "backend-refused", 503 },
  [RT_CODE_CALLER_GONE] = { "caller-gone", 499 },
  [RT_CODE_PAUSED] = { "servers-paused", 503 },
  [RT_CODE_POISON] = { "crashes-servers", 503 },
};

const char *
rt_outcome_name (enum rt_outcome o)
{
  return outcome_names[o];
}

const char *
rt_code_name (enum rt_code c)
{
  return codes[c].name;
}

enum rt_outcome
rt_status_outcome (int http_status)
{
  return http_status >= 500 ? RT_FAILED : RT_DONE;
}

int
rt_code_status (enum rt_code c)
{
  return codes[c].status;
}
