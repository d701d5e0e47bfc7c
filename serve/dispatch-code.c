#include "serve/dispatch-int.h"

static const struct
{
  const char *name;
  int status;
} codes[] = { [DSP_NONE] = { "none", 200 },
              [DSP_NO_SERVER] = { "no-server", 503 },
              [DSP_OVERLOAD] = { "overload", 503 },
              [DSP_RATE_LIMITED] = { "rate-limited", 503 },
              [DSP_PAUSED] = { "servers-paused", 503 },
              [DSP_REFUSED] = { "refused", 503 },
              [DSP_NO_CONNECTION] = { "no-connection", 503 },
              [DSP_SHUTTING_DOWN] = { "leaving", 503 },
              [DSP_POISON] = { "crashes-servers", 503 },
              [DSP_INTERRUPTED] = { "broken", 502 },
              [DSP_DEADLINE] = { "deadline", 504 } };

const char *
dsp_liveness_name (enum dsp_liveness found)
{
  static const char *const names[] = { [DSP_UNREACHABLE] = "unknown",
                                       [DSP_ALIVE] = "alive",
                                       [DSP_ENDED] = "ended",
                                       [DSP_CONN_REFUSED] = "refused" };

  return names[found];
}

const char *
dsp_code_name (enum dsp_code c)
{
  return codes[c].name;
}

int
dsp_code_status (enum dsp_code c)
{
  return codes[c].status;
}

const char *
dsp_cancel_reason_name (enum dsp_cancel_reason why)
{
  static const char *const names[]
      = { [DSP_CANCEL_FAILED] = "failed",
          [DSP_CANCEL_DEADLINE] = "deadline",
          [DSP_CANCEL_POISON] = "crashes-servers",
          [DSP_CANCEL_NOT_SENT] = "not-sent",
          [DSP_CANCEL_CLIENT_GONE] = "client-gone",
          [DSP_CANCEL_OTHER_ANSWERED] = "other-answered" };

  return names[why];
}

const char *
dsp_no_retry_name (enum dsp_no_retry why)
{
  static const char *const names[] = { [DSP_RETRY_NOT_TRIED] = "not-tried",
                                       [DSP_RETRY_ALLOWED] = "allowed",
                                       [DSP_RETRY_UNSAFE] = "unsafe",
                                       [DSP_RETRY_POISON] = "crashes-servers",
                                       [DSP_RETRY_ATTEMPTS] = "attempts",
                                       [DSP_RETRY_DEADLINE] = "deadline",
                                       [DSP_RETRY_NO_ENDPOINT] = "no-endpoint",
                                       [DSP_RETRY_BUDGET] = "budget" };

  return names[why];
}

const char *
dsp_path_name (enum dsp_path_state state)
{
  static const char *const names[] = { "ok", "no-connections", "lost" };

  return names[state];
}
