/* Parts of prompts that crash each back end that begins to write on them, in requests of which no two are alike. The
 * crash comes before the first event, so the parts of streams that had events from that back end are not the cause,
 * and neither is a part under which another run begins well. */

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/log.h"
#include "common/mutant.h"
#include "forward/forward_internal.h"

/* ===== Keys ===== */

unsigned parts_shared(const forward_t *f)
{
    if (!f->split)
        return 0; /* back ends of plain services read no prompts */
    return f->facts.parts_n - (f->facts.parts_n > 0 && !f->facts.has_more_parts);
}

/** Parts of another service or workspace are others: nobody can have another workspace's part held. */
static uint64_t part_key(const forward_t *f, unsigned i)
{
    const char *const workspace = f->workspace ? f->workspace->name : "";
    const char *const id = f->facts.parts[i].id;
    const uint64_t scope =
        XXH3_64bits_withSeed(workspace, strlen(workspace), XXH3_64bits(f->service, strlen(f->service)));
    const uint64_t key = XXH3_64bits_withSeed(id, strlen(id), scope);
    return key ? key : 1;
}

/** @param key set to that of the last one @return number of parts of the prompt that are held */
static unsigned count_held(const forward_t *f, uint64_t *key)
{
    unsigned n = 0;
    if (quarantine_is_empty(f->owner->parts) || MUTANT_IS(MUTANT_FORGET_PARTS))
        return 0;
    for (unsigned i = 0; i < parts_shared(f); i++) {
        const uint64_t part = part_key(f, i);
        if (quarantine_crash_count(f->owner->parts, part, tc_time_now()) < QUARANTINE_CRASH_LIMIT)
            continue;
        *key = part;
        n++;
    }
    return n;
}

bool parts_are_held(const forward_t *f)
{
    uint64_t key;
    return count_held(f, &key) > 0;
}

uint64_t parts_held_key(const forward_t *f)
{
    uint64_t key = 0;
    return count_held(f, &key) == 1 ? key : 0;
}

tc_time_t parts_remaining_ms(const forward_t *f)
{
    tc_time_t most = 0;
    for (unsigned i = 0; i < parts_shared(f) && !MUTANT_IS(MUTANT_FORGET_PARTS); i++) {
        const tc_time_t left = quarantine_remaining_ms(f->owner->parts, part_key(f, i), tc_time_now());
        most = MAX(most, left);
    }
    return most;
}

/* ===== Evidence ===== */

static void log_part(const forward_t *f, const char *event, unsigned i, const char *backend)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, event);
    log_str(&line, "request", f->facts.id);
    log_str(&line, "part", f->facts.parts[i].id);
    log_hash(&line, "key", part_key(f, i));
    log_str(&line, "backend", backend);
    log_end(&line);
}

void parts_begun(const forward_t *f)
{
    forwarder_t *const fw = f->owner;
    const tc_time_t now = tc_time_now();
    bool cleared = false;
    for (unsigned i = 0; i < parts_shared(f); i++) {
        const uint64_t key = part_key(f, i);
        run_history_add(fw->part_begins, key, now);
        if (quarantine_is_empty(fw->parts) || quarantine_crash_count(fw->parts, key, now) == 0)
            continue;
        log_part(f, "part_begun", i, f->call ? f->call->instance->listed.id : "");
        quarantine_clear(fw->parts, key, now);
        cleared = true;
    }
    if (cleared && fw->scheduler)
        reporter_report_now(fw->scheduler);
}

unsigned parts_list_suspects(const backend_call_t *call, part_suspect_t *suspects)
{
    const forward_t *const f = call->request;
    const bool has_begun = f->events > 0 || f->facts.resume_after[0];
    unsigned n = 0;
    for (unsigned i = 0; i < parts_shared(f) && call->op != DIALECT_PREFILL && !has_begun; i++) {
        log_part(f, "part_lost", i, call->instance->listed.id);
        suspects[n++] = (part_suspect_t){.key = part_key(f, i), .by = f->fingerprint, .began = call->began};
    }
    return n;
}

void parts_blame(forwarder_t *fw, const part_suspect_t *suspect, const char *backend, tc_time_t at, unsigned lost)
{
    tc_time_t begun;
    if (run_history_excuse(fw->part_begins, suspect->key, suspect->began, at, &begun))
        return;
    quarantine_crash_t crash = {.request = suspect->key,
                                .by = suspect->by,
                                .backend = backend,
                                .at = at,
                                .began = MIN(suspect->began, at),
                                .lost = lost};
    crash.is_sound = run_history_find(fw->part_begins, suspect->key, &crash.completed_at);
    (void)quarantine_add_crash(fw->parts, &crash, tc_time_now());
}

/** Clears suspects of other boxes that this box has seen to be written on well. */
static bool clear_known(forwarder_t *fw, const quarantine_ack_t *ack, tc_time_t now)
{
    bool cleared = false;
    for (uint32_t i = 0; i < ack->suspects_n; i++) {
        const suspect_request_t *const s = &ack->suspects[i];
        const tc_time_t crashed = now - (tc_time_t)s->age_ms;
        tc_time_t begun;
        /* How long the lost run had lasted is not known here. */
        if (s->ends == 0 ||
            !run_history_excuse(fw->part_begins, s->request, crashed - QUARANTINE_SETTLE_MS, crashed, &begun))
            continue;
        if (s->ends >= QUARANTINE_CRASH_LIMIT && begun <= crashed)
            continue;
        quarantine_clear(fw->parts, s->request, MAX(begun, crashed));
        cleared = true;
    }
    return cleared;
}

bool parts_take_ack(forwarder_t *fw, const msg_report_ack_t *ack)
{
    const tc_time_t now = tc_time_now();
    if (ack->parts.term == 0)
        return false; /* a leader of an earlier build */
    const bool more = quarantine_confirm_report(fw->parts, ack->parts.term);
    if (ack->parts.hash == 0)
        return more;
    quarantine_apply_suspects(fw->parts, ack->parts.suspects, ack->parts.suspects_n, ack->parts.hash, now);
    return clear_known(fw, &ack->parts, now) || more;
}
