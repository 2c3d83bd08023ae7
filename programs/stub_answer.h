/** @file stub_answer.h
 * The deterministic answer to a prompt, shared by the stub engines and by the clients that verify it.
 *
 * Each token depends on the whole prompt and on the token's position, so that
 * a client which knows the prompt detects a wrong, mixed up, truncated or
 * duplicated answer.
 */
#ifndef TRACKCOVE_PROGRAMS_STUB_ANSWER_H
#define TRACKCOVE_PROGRAMS_STUB_ANSWER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/** Bytes of text counted as one token. */
#define STUB_BYTES_PER_TOKEN 4u
/** Size of one token's text with its terminating zero: a space and seven hex digits. */
#define STUB_TOKEN_BYTES 9

static inline uint64_t stub_prompt_hash(const char *prompt, size_t size)
{
    return XXH3_64bits(prompt, size);
}

static inline void stub_token_text(char *to, uint64_t prompt_hash, uint32_t place)
{
    const uint64_t mixed = XXH3_64bits_withSeed(&prompt_hash, sizeof(prompt_hash), place);
    snprintf(to, STUB_TOKEN_BYTES, " %07llx", (unsigned long long)(mixed & 0xfffffff));
}

/** Whether @p text is exactly the tokens [@p got, @p place) of the answer; one event may hold several tokens. */
static inline bool stub_text_matches(const char *text, uint64_t prompt_hash, uint32_t got, uint32_t place)
{
    char token[STUB_TOKEN_BYTES];
    if (!text || strlen(text) != (size_t)(place - got) * (STUB_TOKEN_BYTES - 1))
        return false;
    for (uint32_t i = got; i < place; i++, text += STUB_TOKEN_BYTES - 1) {
        stub_token_text(token, prompt_hash, i);
        if (memcmp(text, token, STUB_TOKEN_BYTES - 1) != 0)
            return false;
    }
    return true;
}

/** Length of the answer in tokens, at least 1: 40 to 100 per cent of @p max_tokens, determined by the prompt. */
static inline uint32_t stub_answer_length(uint64_t prompt_hash, uint32_t max_tokens)
{
    const uint32_t share = 40 + (uint32_t)(prompt_hash >> 20) % 61;
    const uint32_t length = (uint32_t)((uint64_t)max_tokens * share / 100);
    return length > 0 ? length : 1;
}

#endif
