# trackcove: `make help` lists the targets.

CC       ?= gcc
BUILD    ?= build
SAN      ?=
CFLAGS   ?= -O2 -g
PKGS      = glib-2.0 msgpack jansson liburcu-bp liburcu-cds libsodium libcurl
WARN      = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wundef -Wno-unused-parameter
CPPFLAGS += -Ilib -Iprograms -Itests -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LDLIBS   += $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lcivetweb -llog4c -lpthread -lm
ALL_CFLAGS = -std=gnu11 $(CFLAGS) $(WARN) $(SAN) -MMD -MP

LIB_SRC   = $(sort $(wildcard lib/*/*.c))
LIB_OBJ   = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB       = $(BUILD)/libtrackcove.a
PROGRAMS  = trackcove-entryd trackcove-controld trackcove trackcove-stub trackcove-load
BINS      = $(PROGRAMS:%=$(BUILD)/bin/%)
TESTS     = $(sort $(wildcard tests/unit/*.c) $(wildcard tests/random/*.c))
TEST_BINS = $(TESTS:%.c=$(BUILD)/%)
FUZZERS   = $(sort $(wildcard tests/fuzz/*.c))

.PHONY: all help
all: $(BINS) ## build the programs into build/bin
.SECONDARY:

help: ## list the targets
	@sed -n 's/^\([a-z-]*\):.*## /\1\t/p' Makefile | sort | expand -t 16

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  cc  $@"
	@$(CC) $(CPPFLAGS) $(ALL_CFLAGS) -c $< -o $@

$(LIB): $(LIB_OBJ)
	@mkdir -p $(@D)
	@rm -f $@
	@ar rcs $@ $^

# Each program is one folder under programs/.
.SECONDEXPANSION:
$(BUILD)/bin/trackcove-%: $$(addprefix $(BUILD)/,$$(addsuffix .o,$$(basename $$(wildcard programs/$$*/*.c)))) $(LIB)
	@mkdir -p $(@D)
	@echo "  ld  $@"
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(LDLIBS)

$(BUILD)/bin/trackcove: $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/trackcove/*.c)) $(LIB)
	@mkdir -p $(@D)
	@echo "  ld  $@"
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(LDLIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(LIB)
	@echo "  ld  $@"
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(LDLIBS)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

# ===== Harness, demo, bench =====

HARNESS_OBJ = $(BUILD)/tests/harness/cluster.o
$(BUILD)/bench/%: $(BUILD)/bench/%.o $(HARNESS_OBJ) $(LIB)
	@echo "  ld  $@"
	@$(CC) $(ALL_CFLAGS) $^ -o $@ $(LDLIBS)

.PHONY: demo setup
setup:
	@sh scripts/setup.sh

demo: setup ## start a deployment, stream answers through both pools, check them
	@$(MAKE) --no-print-directory all $(BUILD)/bench/demo
	@$(BUILD)/bench/demo sahel
