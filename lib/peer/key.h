/** @file key.h
 * The cluster key and the HMAC proofs of the peer handshake.
 */
#ifndef TRACKCOVE_PEER_KEY_H
#define TRACKCOVE_PEER_KEY_H

/* ===== Dependencies ===== */

#include "common/err.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** Hash of the key file, of the size that HMAC-SHA-256 takes. */
typedef struct {
    unsigned char bytes[32];
} cluster_key_t;

/* ===== Public functions ===== */

/** Reads a key file of at least 16 bytes; trailing white space is ignored. Only the first 4096 bytes count. */
int key_load(cluster_key_t *key, const char *path, tc_err_t *err);

/** Sets a fixed, publicly known key, for a network that is closed to other hosts. */
int key_set_public(cluster_key_t *key, tc_err_t *err);

/** Fills a random nonce into @p hello. */
void key_make_nonce(msg_hello_t *hello);

/** Computes the proof that the sender of @p hello knows the key, as hex in @p mac. It covers both nonces and
 *  @p direction ("dial" or "accept"). */
void key_prove(const cluster_key_t *key, const char *direction, const char *their_nonce, const msg_hello_t *hello,
               char mac[CODEC_STR_SIZE]);

/** Whether hello->mac is the expected proof. Compares in constant time. */
bool key_verify(const cluster_key_t *key, const char *direction, const char *my_nonce, const msg_hello_t *hello);

#endif
