/* The records of a log segment.
 *
 * Only the last records of a segment can be unsynced, and a loss of power leaves any mix of them: present, missing
 * (zeros, when a later one extended the file) or torn. Two things tell whether a damaged record was synced: the sync
 * mark (store_mark.c), and the records behind it, each of which states what was synced when it was written. */

#include <string.h>

#include "control/raft_internal.h"
#include "control/store_internal.h"

/** Read the record at an offset. @return its size with the header, or 0 when there is no valid record */
static size_t read_record(const segment_t *segment, size_t at, log_record_t *record)
{
    record_header_t header;
    if (segment->size - at < sizeof(header))
        return 0;
    memcpy(&header, segment->data + at, sizeof(header));
    if (header.length > segment->size - at - sizeof(header) || !store_header_is_valid(&header))
        return 0;
    const char *const payload = segment->data + at + sizeof(header);
    if (store_checksum(payload, header.length) != header.payload_checksum ||
        codec_unpack_bytes(&log_record_desc, record, payload, header.length, NULL) < 0)
        return 0;
    return sizeof(header) + header.length;
}

/** Whether a record behind offset @p at was written after record @p index was synced. One that does not state what was
 *  synced counts as such: an acknowledged entry must not be dropped on a guess. */
static bool later_record_follows_sync(const segment_t *segment, size_t at, uint64_t index)
{
    while (at < segment->size) {
        log_record_t record;
        const size_t size = read_record(segment, at, &record);
        if (size == 0) {
            at++; /* the length of a damaged record is not known */
            continue;
        }
        const bool follows = record.index > index && (record.unsynced_from == 0 || record.unsynced_from > index);
        codec_free(&log_record_desc, &record);
        if (follows)
            return true;
        at += size;
    }
    return false;
}

/** Whether all bytes from an offset on are zero, as in space that was allocated to the file but never written. */
static bool all_zeros(const segment_t *segment, size_t at)
{
    while (at < segment->size && segment->data[at] == 0)
        at++;
    return at == segment->size;
}

/** Whether damage looks like a torn last record, in a segment of which nothing tells what was synced. */
static bool looks_torn(const segment_t *segment, size_t at)
{
    record_header_t header;
    if (segment->size - at < sizeof(header) || all_zeros(segment, at))
        return true;
    memcpy(&header, segment->data + at, sizeof(header));
    if (!store_header_is_valid(&header))
        return false;
    return header.length > segment->size - at - sizeof(header) ||
           all_zeros(segment, at + sizeof(header) + header.length / 2);
}

/** Decide on the end of the valid records: at the end of the segment, or at damage.
 * @param index index of the record that is damaged or missing there */
static int check_end(const segment_t *segment, size_t at, uint64_t index, tc_err_t *err)
{
    const bool damaged = at < segment->size;
    if (index <= segment->synced)
        return tc_err_set(err, TC_E_CORRUPT, "read log", segment->path, "offset %zu: record %llu is %s, but was synced",
                          at, (unsigned long long)index, damaged ? "damaged" : "missing");
    if (!damaged)
        return TC_OK;
    if (later_record_follows_sync(segment, at + 1, index) || (!segment->has_mark && !looks_torn(segment, at)))
        return tc_err_set(err, TC_E_CORRUPT, "read log", segment->path, "offset %zu: checksum or record is wrong", at);
    return TC_OK;
}

int store_walk_records(const segment_t *segment, store_record_fn_t fn, void *arg, size_t *end, tc_err_t *err)
{
    size_t at = 0;
    uint64_t index = segment->first;
    *end = 0;
    while (at < segment->size) {
        log_record_t record;
        const size_t size = read_record(segment, at, &record);
        if (size == 0)
            break;
        const log_entry_t entry = {.term = record.term,
                                   .index = record.index,
                                   .kind = record.kind,
                                   .data = record.data,
                                   .data_n = record.data_n};
        const int rc = fn(arg, &entry, at);
        codec_free(&log_record_desc, &record);
        if (rc < 0)
            return tc_err_set(err, rc, "read log", segment->path, "offset %zu: index out of order", at);
        at += size;
        index++;
        *end = at;
    }
    return check_end(segment, at, index, err);
}
