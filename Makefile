# chestnutquay build.
#
#   make            library, programs and the stand-ins for tests
#   make check      all tests
#   make lint       check-bounds, clang-format, clang-tidy, cppcheck
#   make bench      all benchmarks, one JSON object per line
#   make replay     compares placement policies on job traces, as tables
#   make demo       the whole system on loopback
#   make soak SEED=N [SECONDS=N HOSTS=N WORKERS=N]   soak test with faults
#   make soak-regressions   soak test with all seeds that have failed before
#   make install    programs, library and headers to $(DESTDIR)$(PREFIX)
#   make generate   regenerates src/protocol/gen (needs protobuf-c-compiler)
#
# V=1 prints each command. SAN=1 builds with the address and undefined-behaviour
# sanitizers in build-san.

Q := $(if $(V),,@)
PREFIX ?= /usr/local
CC ?= cc
CXX ?= c++
PKGS := glib-2.0 jansson libcurl libmicrohttpd libprotobuf-c
ifeq ($(SAN),1)
B := build-san
SANFLAGS := -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
OPT := -O1
else
B := build
SANFLAGS :=
OPT := -O2
endif

VERSION := 0.1.0
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wdeclaration-after-statement
CPPFLAGS += -D_GNU_SOURCE -DCQ_VERSION=\"$(VERSION)\" -Iinclude -Isrc -I.
CFLAGS_ALL = -std=gnu11 -g $(OPT) $(WARN) $(SANFLAGS) $(PKG_CFLAGS) $(CFLAGS)
CXXFLAGS_ALL = -std=c++17 -g $(OPT) -Wall -Wextra -Werror $(SANFLAGS) \
	$(PKG_CFLAGS) $(CXXFLAGS)
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LDLIBS_ALL = $(shell pkg-config --libs $(PKGS)) -lev -largtable2 -llog4c -lm

LIB_DIRS := src/base src/transport src/protocol src/protocol/gen src/state \
	src/coordination
LIB_SRC := $(foreach d,$(LIB_DIRS),$(wildcard $(d)/*.c))
LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o)
LIB := $(B)/libchestnutquay.a

# The platform adapter and cq-hostd, the only program that is linked to it.
PLATFORM_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c))
HOSTD_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard src/programs/hostd/*.c))
HOSTD := $(B)/bin/cq-hostd

PROGRAM_DIRS := $(patsubst %/main.c,%,$(filter-out src/programs/hostd/%, \
	$(wildcard src/programs/*/main.c)))
STANDIN_DIRS := $(patsubst %/main.c,%,$(wildcard tests/standins/*/main.c))
PROGRAM_COMMON_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard src/programs/common/*.c))
program_name = $(if $(filter cqctl,$(notdir $1)),cqctl,cq-$(notdir $1))
PROGRAMS := $(foreach d,$(PROGRAM_DIRS),$(B)/bin/$(call program_name,$d))
STANDINS := $(foreach d,$(STANDIN_DIRS),$(B)/bin/cq-$(notdir $d))

UNIT_SRC := $(wildcard tests/unit/test_*.c)
UNIT_BIN := $(UNIT_SRC:tests/unit/%.c=$(B)/tests/unit/%)
TEST_LIB_SRC := $(wildcard tests/support/*.c)
TEST_LIB_OBJ := $(TEST_LIB_SRC:%.c=$(B)/%.o)
# Support code is linked as archives (TEST_LIB, BENCH_LIB), so that a test or
# benchmark links only the objects that it uses.
TEST_LIB := $(B)/libtest.a
PROP_SRC := $(wildcard tests/property/prop_*.cc)
PROP_BIN := $(PROP_SRC:tests/property/%.cc=$(B)/tests/property/%)
BENCH_SRC := $(wildcard bench/bench_*.c)
BENCH_BIN := $(BENCH_SRC:bench/%.c=$(B)/bench/%)
BENCH_LIB_SRC := $(filter-out $(BENCH_SRC),$(wildcard bench/*.c))
BENCH_LIB_OBJ := $(BENCH_LIB_SRC:%.c=$(B)/%.o)
BENCH_LIB := $(B)/libbench.a
# A fuzz target is built only if the header of its module exists.
fuzz_without_header = $(if $(wildcard include/chestnutquay/$2.h),,tests/fuzz/fuzz_$1.c)
FUZZ_SRC := $(filter-out $(call fuzz_without_header,job,jobs) \
	$(call fuzz_without_header,caller,caller) \
	$(call fuzz_without_header,peer_request,peer_request), \
	$(wildcard tests/fuzz/fuzz_*.c))
FUZZ_BIN := $(FUZZ_SRC:tests/fuzz/%.c=build-fuzz/%)

.PHONY: all hostd check lint format bench replay demo deps generate install clean tests \
	fuzz soak soak-regressions
.SECONDARY:
all: $(LIB) $(PROGRAMS) $(HOSTD) $(STANDINS)

deps:
	scripts/install-deps.sh

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CPPFLAGS) $(CFLAGS_ALL) -MMD -MP -c $< -o $@

$(B)/src/protocol/gen/%.o: WARN := -Wall

$(LIB): $(LIB_OBJ)
	@rm -f $@
	$(Q)ar rcs $@ $^

define link_rule
$(B)/bin/$2: $$(patsubst %.c,$(B)/%.o,$$(wildcard $1/*.c)) $3 $(LIB)
	@mkdir -p $$(@D)
	@echo "  LINK $$@"
	$$(Q)$(CC) $(SANFLAGS) -o $$@ $$^ $$(LDLIBS_ALL)
endef
$(foreach d,$(PROGRAM_DIRS),$(eval $(call link_rule,$d,$(call program_name,$d),$(PROGRAM_COMMON_OBJ))))
$(foreach d,$(STANDIN_DIRS),$(eval $(call link_rule,$d,cq-$(notdir $d),$(TEST_LIB) $(PROGRAM_COMMON_OBJ))))

$(HOSTD): $(HOSTD_OBJ) $(PLATFORM_OBJ) $(LIB)
	@mkdir -p $(@D)
	@echo "  LINK $@"
	$(Q)$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS_ALL)

hostd: $(HOSTD)

$(B)/tests/unit/%: $(B)/tests/unit/%.o $(TEST_LIB) $(PROGRAM_COMMON_OBJ) \
		$(PLATFORM_OBJ) $(LIB)
	@echo "  LINK $@"
	$(Q)$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS_ALL)

$(B)/tests/property/%: tests/property/%.cc $(TEST_LIB) $(LIB)
	@mkdir -p $(@D)
	@echo "  LINK $@"
	$(Q)$(CXX) $(CPPFLAGS) $(CXXFLAGS_ALL) -MMD -MP -MF $@.d -o $@ $< \
		$(TEST_LIB) $(LIB) -lrapidcheck $(LDLIBS_ALL)

$(TEST_LIB): $(TEST_LIB_OBJ)
	@rm -f $@
	$(Q)ar rcs $@ $^

$(BENCH_LIB): $(BENCH_LIB_OBJ)
	@rm -f $@
	$(Q)ar rcs $@ $^

$(B)/bench/%: $(B)/bench/%.o $(BENCH_LIB) $(TEST_LIB) $(PLATFORM_OBJ) $(LIB)
	@echo "  LINK $@"
	$(Q)$(CC) $(SANFLAGS) -o $@ $^ $(LDLIBS_ALL)

FUZZ_CC = clang $(CPPFLAGS) -std=gnu11 -g -O1 $(PKG_CFLAGS)
FUZZ_LIB_OBJ := $(LIB_SRC:%.c=build-fuzz/%.o) \
	$(patsubst %.c,build-fuzz/%.o,$(wildcard platform/*.c))

build-fuzz/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(FUZZ_CC) -fsanitize=fuzzer-no-link,address -MMD -MP -c $< -o $@

build-fuzz/%: tests/fuzz/%.c $(FUZZ_LIB_OBJ)
	@echo "  FUZZ $@"
	$(Q)$(FUZZ_CC) -fsanitize=fuzzer,address -o $@ $^ $(LDLIBS_ALL)

tests: all $(UNIT_BIN) $(PROP_BIN)
fuzz: $(FUZZ_BIN)

ifeq ($(SAN),1)
check: tests
	scripts/run-tests.sh $(B)
else
check: tests fuzz
	scripts/run-tests.sh $(B)
endif

# Build messages go to standard error, so that standard output has only results.
bench:
	@$(MAKE) --no-print-directory all $(BENCH_BIN) >&2
	@scripts/run-bench.sh $(B)

replay:
	@$(MAKE) --no-print-directory $(B)/bench/bench_replay >&2
	@scripts/replay.sh $(B)

demo: deps
	$(MAKE) all
	scripts/demo.sh $(B)

SEED ?= 1
SECONDS ?= 36
HOSTS ?= 4
WORKERS ?= 6
soak: all
	CQ_BUILD=$(B) scripts/soak.sh $(SEED) $(SECONDS) $(HOSTS) $(WORKERS)

soak-regressions: all
	@sed 's/#.*//;/^ *$$/d' tests/soak-seeds.txt | while read -r line; do \
		echo "soak $$line"; \
		CQ_BUILD=$(B) scripts/soak.sh $$line </dev/null || exit 1; \
	done

C_FILES = $(shell git ls-files '*.c' '*.h' '*.cc' | grep -v protocol/gen)
TIDY_FILES = $(shell git ls-files 'src/*.c' 'platform/*.c' 'bench/*.c' \
	'tests/*.c' | \
	grep -v -e protocol/gen -e tests/fuzz)

format:
	clang-format -i $(C_FILES)

lint:
	@echo "  BOUNDS, FORMAT, TIDY, CPPCHECK"
	@scripts/check-bounds
	@clang-format --dry-run -Werror $(C_FILES)
	@printf '%s\n' $(TIDY_FILES) | xargs -P 10 -I{} clang-tidy --quiet {} \
		-- $(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS) 2>/dev/null
	@cppcheck --quiet --error-exitcode=1 --std=c11 -j 8 \
		--enable=warning,portability --inline-suppr \
		--suppress=missingIncludeSystem --suppress=unknownMacro \
		-Iinclude -Isrc -I. -isrc/protocol/gen src platform

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib \
		$(DESTDIR)$(PREFIX)/include/chestnutquay
	install -m 755 $(PROGRAMS) $(HOSTD) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/chestnutquay/*.h \
		$(DESTDIR)$(PREFIX)/include/chestnutquay

generate:
	protoc-c --proto_path=src/protocol/proto --c_out=src/protocol/gen \
		src/protocol/proto/*.proto

clean:
	rm -rf build build-san build-fuzz

-include $(shell find $(B) build-fuzz -name '*.d' 2>/dev/null)
