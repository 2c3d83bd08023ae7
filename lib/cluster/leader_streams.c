#include "cluster/leader_streams.h"

#include "common/log.h"

void leader_streams_answer(const stream_versions_t *streams, peer_net_t *net, peer_call_t call,
                           const msg_stream_find_t *find, tc_time_t now)
{
    const char *const version = streams ? stream_versions_find(streams, find->stream, now) : NULL;
    msg_stream_found_t found = {0};
    codec_copy_string(found.version, sizeof(found.version), version ? version : "");
    log_line_t line;
    log_begin(&line, LOG_INFO, "stream_found");
    log_str(&line, "request", find->id);
    log_hash(&line, "stream", find->stream);
    log_str(&line, "version", found.version);
    log_end(&line);
    peer_reply(net, call, MSG_STREAM_FOUND, &found);
}
