# Build, test and run lapisline.  Targets for users: run, run-keep, test.
CC = gcc
PKGS = libuv libh2o json-c glib-2.0 libxxhash libprotobuf-c
CPPFLAGS = -I. -Iproto $(shell pkg-config --cflags $(PKGS)) \
	-D_GNU_SOURCE -DH2O_USE_LIBUV=1
CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wmissing-prototypes \
	-Wno-unused-parameter $(SAN)
LDLIBS = -lh2o -luv -lssl -lcrypto -lprotobuf-c -ljson-c -lglib-2.0 \
	-lxxhash -lpthread -lm
B = build$(if $(SAN),/san)

FOLDERS = base net store config fleet claim replica route back front control \
	serve platform
# Short lines unless V=1.
ifndef V
QUIET_CC = @echo "  CC   $@";
QUIET_LINK = @echo "  LINK $@";
QUIET_AR = @echo "  AR   $@";
QUIET_GEN = @echo "  GEN  $@";
endif

LIB_SRC = $(wildcard $(FOLDERS:%=%/*.c)) proto/wire.pb-c.c \
	$(filter-out proto/wire.pb-c.c,$(wildcard proto/*.pb-c.c))
CMD_SRC = lapisline.c $(wildcard builtin/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$B/%.o) $B/charts.o
CMD_OBJ = $(CMD_SRC:%.c=$B/%.o)
TESTS = $(patsubst t/%.c,$B/t/%,$(wildcard t/t[0-9]*.c))
T_OBJ = $(patsubst %.c,$B/%.o,$(wildcard t/lib-*.c))

all: $B/lapisline $(if $(wildcard standins/*.c),$B/standin)

# Where a platform that builds from the deploy file expects the program.
target/lapisline: $B/lapisline
	@mkdir -p $(@D)
	cp $< $@

$B/liblapisline.a: $(LIB_OBJ)
	$(QUIET_AR)rm -f $@ && ar rcs $@ $^

$B/lapisline: $(CMD_OBJ) $B/liblapisline.a
	$(QUIET_LINK)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$B/standin: $(patsubst %.c,$B/%.o,$(wildcard standins/*.c)) $B/liblapisline.a
	$(QUIET_LINK)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# An archive, so that a test may stand in for what only others' helpers need.
$B/t/libhelpers.a: $(T_OBJ)
	$(QUIET_AR)rm -f $@ && ar rcs $@ $^

$B/t/%: $B/t/%.o $B/t/libhelpers.a $B/liblapisline.a
	$(QUIET_LINK)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS) -lcriterion

$B/%.o: %.c
	@mkdir -p $(@D)
	$(QUIET_CC)$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# Measurements name the revision that they were made with.
REVISION = $(shell git describe --always --dirty 2>/dev/null || echo unknown)
$B/builtin/bench.o: CPPFLAGS += -DLAPISLINE_REVISION='"$(REVISION)"'
$B/builtin/bench.o: $B/revision
$B/revision: FORCE
	@mkdir -p $(@D)
	@echo '$(REVISION)' | cmp -s - $@ || echo '$(REVISION)' > $@
FORCE:

# Generated protobuf code is not held to our warnings.
$B/proto/%.o: CFLAGS += -Wno-missing-prototypes

# Charts are embedded as C strings so that the binary needs no files.
$B/charts.c: $(wildcard charts/*.json) charts/embed.sh
	@mkdir -p $(@D)
	$(QUIET_GEN)sh charts/embed.sh charts > $@

$B/charts.o: $B/charts.c
	$(QUIET_CC)$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

# Users' commands: what is missing is installed first.
run: install
	$(MAKE) $(PARALLEL) all
	tools/run-example.sh

run-keep: install
	$(MAKE) $(PARALLEL) all
	tools/run-example.sh --keep

install:
	@.ci/install --missing

tests: all $(TESTS)

# Everything as shipped, then again under the sanitizers.
SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
TEST_NAMES = $(patsubst t/%.c,%,$(wildcard t/t[0-9]*.c))
PARALLEL = $(if $(findstring -j,$(MAKEFLAGS)),,-j$(shell nproc))

test: install
	$(MAKE) $(PARALLEL) tests
	$(MAKE) $(PARALLEL) tests SAN="$(SANITIZE)"
	t/run-tests.sh $(TEST_NAMES:%=build/t/%) $(TEST_NAMES:%=build/san/t/%)

# Sources held to the house style; generated code is not.
STYLED = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard *.[ch] builtin/*.[ch] \
	$(FOLDERS:%=%/*.[ch]) t/*.[ch] standins/*.[ch]))

# Fuzzes the parser of server-sent events; new inputs go to its corpus, which
# t9224 replays.  Needs clang.
FUZZ_SECONDS = 60
fuzz: $B/fuzz-split
	$B/fuzz-split -max_len=128 -max_total_time=$(FUZZ_SECONDS) t/fuzz/split

$B/fuzz-split: t/fuzz-split.c t/lib-split.c serve/split.c base/str.c \
		$B/liblapisline.a
	$(QUIET_LINK)clang $(CPPFLAGS) -std=gnu11 -g -O1 \
		-fsanitize=fuzzer,address,undefined -o $@ $^ $(LDLIBS)

format:
	@clang-format --dry-run -Werror $(STYLED)

# One file at a time on every core; clang-tidy counts the suppressed warnings
# of system headers on standard error, which nobody needs.
lint:
	@printf '%s\n' $(filter %.c,$(STYLED)) | xargs -P $(shell nproc) -I{} \
		clang-tidy --quiet {} -- $(CPPFLAGS) -std=gnu11 \
		'-DLAPISLINE_REVISION="lint"' 2>/dev/null

.SECONDARY:
.PHONY: all run run-keep install tests test fuzz format lint FORCE
-include $(shell find $B -name '*.d' 2>/dev/null)
