# make          builds the library and all programs into build/
# make check    builds with sanitizers and runs every test program
# make soak     runs the seeds of soak/seeds under random faults
# make demo     runs the whole path from one command
# make model    runs the model checker
# make bench    measures; results go to bench/results/
# make lint     checks format and runs the linter

CC = gcc
PREFIX = /usr/local
VERSION = 0.1.0
PACKAGES = libev-dev libmsgpack-dev libmicrohttpd-dev \
    libcurl4-openssl-dev libargtable2-dev liblog4c-dev libcunit1-dev \
    libinih-dev libjansson-dev libxxhash-dev libsodium-dev spin gnuplot-nox
LINT_PACKAGES = clang-format clang-tidy

CPPFLAGS = -D_GNU_SOURCE -DDAISYPIER_VERSION='"$(VERSION)"' -Isrc -Iplatform
CFLAGS = -std=c11 -g -Wall -Wextra -Werror -MMD -MP
LDLIBS = -lev -lmsgpackc -lmicrohttpd -lcurl -largtable2 -llog4c -linih \
    -ljansson -lxxhash -lsodium -lm

# The daemon on the users' platform is built into target/ by its deploy file.
BUILD ?= build
ifdef SANITIZE
BUILD = build/san
CFLAGS += -O1 -fsanitize=address,undefined -fno-omit-frame-pointer \
    -fno-sanitize-recover=undefined
LDFLAGS += -fsanitize=address,undefined
else
CFLAGS += -O2
endif

MAINS = daisypierd daisypier daisyload standin_platform standin_engine \
    standin_service faultproxy
MAIN_SRCS = $(wildcard $(MAINS:%=src/%.c))
PROGRAMS = $(foreach p,$(MAIN_SRCS:src/%.c=%) $(PLATFORM_MAINS), \
    $(BUILD)/$(subst _,-,$(p)))
GATEWAY = $(BUILD)/daisypier-gateway
PLATFORM_MAINS = daisypier_gateway daisypier_losses standin_users_store standin_users_engine
PLATFORM_SRCS = $(filter-out $(PLATFORM_MAINS:%=platform/%.c), \
    $(wildcard platform/*.c))
PLATFORM_OBJS = $(PLATFORM_SRCS:platform/%.c=$(BUILD)/obj/platform/%.o)
LIB_SRCS = $(filter-out $(MAIN_SRCS),$(wildcard src/*.c))
LIB_OBJS = $(LIB_SRCS:src/%.c=$(BUILD)/obj/%.o)
LIB = $(BUILD)/libdaisypier.a

TEST_SUPPORT = $(wildcard tests/harness*.c)
TEST_SUPPORT_OBJS = $(TEST_SUPPORT:tests/%.c=$(BUILD)/obj/tests/%.o)
TEST_SRCS = $(wildcard tests/test_*.c)
TESTS = $(TEST_SRCS:tests/%.c=$(BUILD)/tests/%)
SOAK_SRCS = $(wildcard soak/*.c)
SOAK_OBJS = $(SOAK_SRCS:soak/%.c=$(BUILD)/obj/soak/%.o)
BENCH_SRCS = $(wildcard bench/bench_*.c)
BENCHES = $(BENCH_SRCS:bench/%.c=$(BUILD)/bench/%)
EXAMPLE_SRCS = $(wildcard examples/*.c)
EXAMPLES = $(EXAMPLE_SRCS:examples/%.c=$(BUILD)/examples/%)

all: $(LIB) $(PROGRAMS) $(EXAMPLES)

tests: $(TESTS)

$(LIB): $(LIB_OBJS)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/obj/%.o: src/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

$(BUILD)/obj/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

define PLATFORM_RULE
$(BUILD)/$(subst _,-,$(1)): $(BUILD)/obj/platform/$(1).o $(PLATFORM_OBJS) $(LIB)
	$(CC) $(LDFLAGS) -o $$@ $$^ $(LDLIBS)
endef
$(foreach p,$(PLATFORM_MAINS),$(eval $(call PLATFORM_RULE,$(p))))

gateway: $(GATEWAY)

$(BUILD)/obj/tests/%.o: tests/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -Itests $(CFLAGS) -c -o $@ $<

$(BUILD)/obj/bench/%.o: bench/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

$(BUILD)/obj/examples/%.o: examples/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

# A program is named with dashes, its main file with underscores.
define PROGRAM_RULE
$(BUILD)/$(subst _,-,$(1)): $(BUILD)/obj/$(1).o $(LIB)
	$(CC) $(LDFLAGS) -o $$@ $$^ $(LDLIBS)
endef
$(foreach p,$(MAIN_SRCS:src/%.c=%),$(eval $(call PROGRAM_RULE,$(p))))

$(BUILD)/tests/%: $(BUILD)/obj/tests/%.o $(TEST_SUPPORT_OBJS) \
    $(PLATFORM_OBJS) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(LDLIBS)

$(BUILD)/obj/soak/%.o: soak/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -Itests $(CFLAGS) -c -o $@ $<

$(BUILD)/soak: $(SOAK_OBJS) $(TEST_SUPPORT_OBJS) $(PLATFORM_OBJS) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(LDLIBS)

$(BUILD)/bench/%: $(BUILD)/obj/bench/%.o $(PLATFORM_OBJS) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/examples/%: $(BUILD)/obj/examples/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

deps:
	@sh demo/deps.sh $(PACKAGES)

lint-deps:
	@sh demo/deps.sh $(LINT_PACKAGES)

# test_fail_crowd measures the memory of programs built without sanitizers.
check: deps
	$(MAKE) all
	$(MAKE) SANITIZE=1 all tests
	sh tests/run.sh build/san

# SEEDS and SOAK_SECONDS choose what is run.
SEEDS ?= $(shell cat soak/seeds)
SOAK_SECONDS ?= 15
soak: deps
	$(MAKE) all $(BUILD)/soak
	sh soak/run.sh $(BUILD) $(SOAK_SECONDS) $(SEEDS)

demo: deps
	$(MAKE) all
	sh demo/demo.sh build

model: deps
	sh model/run.sh

bench: deps
	$(MAKE) all $(BENCHES)
	sh bench/run.sh build

C_FILES = $(wildcard src/*.[ch] platform/*.[ch] soak/*.[ch] tests/*.[ch] bench/*.[ch] examples/*.[ch])
format: lint-deps
	clang-format -i $(C_FILES)

lint: lint-deps deps
	clang-format --dry-run -Werror $(C_FILES)
	printf '%s\n' $(filter %.c,$(C_FILES)) | xargs -P 8 -n 4 sh -c \
	    'clang-tidy --quiet "$$@" -- $(subst ','\'',$(CPPFLAGS)) -Itests \
	    -std=c11' lint

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	    $(DESTDIR)$(PREFIX)/include/daisypier
	install -m 755 build/daisypierd build/daisypier build/daisyload \
	    $(DESTDIR)$(PREFIX)/bin
	install -m 644 build/libdaisypier.a $(DESTDIR)$(PREFIX)/lib
	install -m 644 $(filter-out src/harness%,$(wildcard src/*.h)) \
	    $(DESTDIR)$(PREFIX)/include/daisypier
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
	    -e 's|@LIBS@|$(LDLIBS)|' src/daisypier.pc.in \
	    > $(DESTDIR)$(PREFIX)/lib/pkgconfig/daisypier.pc

clean:
	rm -rf build target

.PHONY: all gateway soak tests deps lint-deps check demo model bench format lint install clean
.SECONDARY:

-include $(wildcard $(BUILD)/obj/*.d $(BUILD)/obj/tests/*.d \
    $(BUILD)/obj/platform/*.d $(BUILD)/obj/soak/*.d \
    $(BUILD)/obj/bench/*.d)
