#include "t/lib-proc.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <libgen.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"

#define MAX_PROCS 1024
#define POLL_MS 5

struct proc
{
  pid_t pid;
  int out_fd; /* pipe from its standard output; -1: output goes to a file */
  bool ended;
  int status;
  struct buf output;
  struct buf ready_line; /* empty before it is printed */
};

static struct proc procs[MAX_PROCS];
static size_t nprocs;
static char temp_dir[PATH_MAX];
static char **kept_strings; /* returned strings, freed by proc_stop_all() */
static size_t nkept_strings;

static const char *
keep_string (char *c)
{
  kept_strings
      = xrealloc (kept_strings, (nkept_strings + 1) * sizeof *kept_strings);
  kept_strings[nkept_strings++] = c;
  return c;
}

static void
free_kept_strings (void)
{
  for (size_t i = 0; i < nkept_strings; i++)
    free (kept_strings[i]);
  free (kept_strings);
  kept_strings = NULL;
  nkept_strings = 0;
}

const char *
proc_binary_path (const char *name)
{
  char self[PATH_MAX] = "";
  char *path = NULL;
  if (readlink ("/proc/self/exe", self, sizeof self - 1) < 0)
    cr_assert_fail ("readlink: %s", strerror (errno));
  if (asprintf (&path, "%s/%s", dirname (dirname (self)), name) < 0)
    cr_assert_fail ("out of memory");
  return keep_string (path);
}

static void
run_child (const char *const argv[], int out)
{
  /* A test killed by its timeout runs no teardown.  Without the parent-death
     signal its processes would keep running and block the CI run. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  const char *path
      = strchr (argv[0], '/') ? argv[0] : proc_binary_path (argv[0]);
  dup2 (out, STDOUT_FILENO);
  execv (path, (char *const *)argv);
  fprintf (stderr, "%s: %s\n", path, strerror (errno));
  _exit (127);
}

static struct proc *
spawn (const char *const argv[], int out, int read_fd)
{
  cr_assert (nprocs < MAX_PROCS, "too many processes");
  struct proc *p = &procs[nprocs++];
  *p = (struct proc){ .out_fd = read_fd };
  p->pid = fork ();
  if (p->pid == 0)
    run_child (argv, out);
  close (out);
  cr_assert (p->pid > 0, "fork: %s", strerror (errno));
  return p;
}

struct proc *
proc_start (const char *const argv[])
{
  int fds[2];
  cr_assert (pipe2 (fds, O_CLOEXEC) == 0, "pipe: %s", strerror (errno));
  return spawn (argv, fds[1], fds[0]);
}

void
proc_set_quarantine_mb (int mb)
{
  const char *options = getenv ("ASAN_OPTIONS");
  char *text = NULL;

  if (asprintf (&text,
                "%s%squarantine_size_mb=%d:thread_local_quarantine_size_kb=%d",
                options ? options : "", options ? ":" : "", mb,
                mb > 0 ? 64 : 0)
      < 0)
    cr_assert_fail ("out of memory");
  setenv ("ASAN_OPTIONS", text, 1);
  free (text);
}

bool
proc_is_sanitized (void)
{
#ifdef __SANITIZE_ADDRESS__
  return true;
#else
  return false;
#endif
}

long
proc_memory_kb (const struct proc *p)
{
  char path[64], line[128];
  long kb = 0;
  FILE *status;

  snprintf (path, sizeof path, "/proc/%d/status", (int)p->pid);
  status = fopen (path, "r");
  if (!status)
    return 0;
  while (fgets (line, sizeof line, status))
    if (sscanf (line, "VmRSS: %ld", &kb) == 1)
      break;
  fclose (status);
  return kb;
}

struct proc *
proc_start_to (const char *const argv[], const char *path)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  cr_assert (fd >= 0, "%s: %s", path, strerror (errno));
  return spawn (argv, fd, -1);
}

/* Reads more output of the process; false at end of file. */
static bool
read_output (struct proc *p, int wait_ms)
{
  struct pollfd fd = { .fd = p->out_fd, .events = POLLIN };
  if (poll (&fd, 1, wait_ms) <= 0)
    return true;
  buf_reserve (&p->output, 4096);
  ssize_t n = read (p->out_fd, p->output.ptr + p->output.len, 4096);
  if (n > 0)
    p->output.len += (size_t)n;
  return n > 0;
}

/* Copies the ready line from the output; false if it is not complete yet. */
static bool
parse_ready_line (struct proc *p)
{
  struct str rest = buf_str (&p->output);
  while (rest.len)
    {
      size_t end = str_chr (rest, '\n');
      if (end == rest.len)
        return false;
      if (str_starts (rest, STR ("ready ")))
        {
          buf_add (&p->ready_line, str_head (rest, end));
          return true;
        }
      rest = str_skip (rest, end + 1);
    }
  return false;
}

bool
proc_ready (struct proc *p, int wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  while (p->ready_line.len == 0 && !parse_ready_line (p))
    {
      clk_ms left = until - clk_now ();
      if (left <= 0 || !read_output (p, (int)left))
        return false;
    }
  return true;
}

const char *
proc_addr (const struct proc *p, const char *key)
{
  struct str rest = buf_str (&p->ready_line);
  size_t n = strlen (key);
  while (rest.len)
    {
      size_t end = str_chr (rest, ' ');
      struct str word = str_head (rest, end);
      if (str_starts (word, str_from (key)) && word.len > n
          && word.ptr[n] == '=')
        return keep_string (str_dup (str_skip (word, n + 1)));
      rest = str_skip (rest, end + 1);
    }
  return NULL;
}

struct proc *
proc_start_ready (const char *const argv[])
{
  struct proc *p = proc_start (argv);
  cr_assert (proc_ready (p, PROC_WAIT_MS),
             "%s %s did not print its ready line", argv[0],
             argv[1] ? argv[1] : "");
  return p;
}

pid_t
proc_pid (const struct proc *p)
{
  return p->pid;
}

void
proc_signal (struct proc *p, int sig)
{
  if (!p->ended)
    kill (p->pid, sig);
}

static bool
reap (struct proc *p, int flags)
{
  int status;
  if (p->ended || waitpid (p->pid, &status, flags) != p->pid)
    return p->ended;
  p->ended = true;
  p->status
      = WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
  return true;
}

int
proc_wait (struct proc *p, int wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  bool open = true;
  while (!reap (p, WNOHANG))
    {
      if (clk_now () >= until)
        return -1;
      if (open)
        open = read_output (p, POLL_MS);
      else
        poll (NULL, 0, POLL_MS);
    }
  size_t before;
  do
    {
      before = p->output.len;
      read_output (p, 0);
    }
  while (p->output.len > before);
  return p->status;
}

struct str
proc_output (struct proc *p)
{
  return buf_str (&p->output);
}

int
proc_run (const char *const argv[], struct buf *output, int wait_ms)
{
  struct proc *p = proc_start (argv);
  int status = proc_wait (p, wait_ms);
  if (output)
    buf_add (output, proc_output (p));
  return status;
}

static int
remove_entry (const char *path, const struct stat *st, int type,
              struct FTW *ftw)
{
  return remove (path);
}

void
proc_stop_all (void)
{
  for (size_t i = 0; i < nprocs; i++)
    proc_signal (&procs[i], SIGKILL);
  for (size_t i = 0; i < nprocs; i++)
    {
      reap (&procs[i], 0);
      if (procs[i].out_fd >= 0)
        close (procs[i].out_fd);
      buf_free (&procs[i].output);
      buf_free (&procs[i].ready_line);
    }
  nprocs = 0;
  free_kept_strings ();
  if (temp_dir[0])
    nftw (temp_dir, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
  temp_dir[0] = '\0';
}

const char *
proc_dir (void)
{
  if (temp_dir[0])
    return temp_dir;
  const char *tmp = getenv ("TMPDIR");
  snprintf (temp_dir, sizeof temp_dir, "%s/lapisline-XXXXXX",
            tmp ? tmp : "/tmp");
  cr_assert (mkdtemp (temp_dir) != NULL, "mkdtemp: %s", strerror (errno));
  return temp_dir;
}

static void
make_parents (char *path)
{
  for (char *at = strchr (path + 1, '/'); at; at = strchr (at + 1, '/'))
    {
      *at = '\0';
      mkdir (path, 0700);
      *at = '/';
    }
}

const char *
proc_file (const char *name, const char *fmt, ...)
{
  char *path = NULL;
  va_list ap;
  if (asprintf (&path, "%s/%s", proc_dir (), name) < 0)
    cr_assert_fail ("out of memory");
  make_parents (path);
  FILE *f = fopen (path, "w");
  cr_assert (f != NULL, "%s: %s", path, strerror (errno));
  va_start (ap, fmt);
  vfprintf (f, fmt, ap);
  va_end (ap);
  fclose (f);
  return keep_string (path);
}

const char *
proc_secret (void)
{
  return proc_file ("secret.txt", "a secret of the processes under %s\n",
                    proc_dir ());
}

/* --- ports ------------------------------------------------------------- */

/** Ports below the kernel's ephemeral range.  An ephemeral port that is free
    now may be assigned to a connection of another test before the process
    listens on it, or while the process restarts at the same address.  The
    process then fails with "address already in use". */
#define PORT_FIRST 16384
#define PORT_END 32384
#define PORT_BLOCK 40

/** Reserves the port; false if it is in use.  The socket stays bound and never
    listens.  A server can still bind the port, because both sockets have
    SO_REUSEADDR set by then.  Another test can't reserve it: its bind() here
    runs before SO_REUSEADDR is set and fails. */
static bool
reserve_port (int port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  sa.sin_port = htons ((uint16_t)port);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0)
    {
      close (fd);
      return false;
    }
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return true;
}

int
proc_port (void)
{
  static int next;

  if (next == 0)
    next = getpid () % ((PORT_END - PORT_FIRST) / PORT_BLOCK) * PORT_BLOCK;
  for (int i = PORT_FIRST; i < PORT_END; i++)
    {
      int port = PORT_FIRST + next++ % (PORT_END - PORT_FIRST);
      if (reserve_port (port))
        return port;
    }
  cr_assert_fail ("proc_port: no free port in its range");
  return 0;
}

const char *
proc_listen (void)
{
  char *text = NULL;

  if (asprintf (&text, "127.0.0.1:%d", proc_port ()) < 0)
    cr_assert_fail ("out of memory");
  return keep_string (text);
}
