/** @file key.h
 * The cluster key and the proofs made with it.
 */
#ifndef TRACKCOVE_PEER_KEY_H
#define TRACKCOVE_PEER_KEY_H

/* ===== Dependencies ===== */

#include "common/err.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** The key, reduced to the size HMAC-SHA-256 takes. */
typedef struct {
    unsigned char bytes[32];
} cluster_key_t;

/* ===== Public functions ===== */

/** Read a key file: at least 16 bytes, white space at the end not counted. */
int key_load(cluster_key_t *key, const char *path, tc_err_t *err);

/** A key that is no secret, for a network that is closed to others. */
int key_set_public(cluster_key_t *key, tc_err_t *err);

/** Fill a fresh nonce into @p hello. */
void key_make_nonce(msg_hello_t *hello);

/** Proof by the sender of @p hello, for one direction, over both nonces. Written as hex into @p mac. */
void key_prove(const cluster_key_t *key, const char *direction, const char *their_nonce, const msg_hello_t *hello,
               char mac[CODEC_STR_SIZE]);

/** Whether hello->mac is the proof expected. Constant time. */
bool key_verify(const cluster_key_t *key, const char *direction, const char *my_nonce, const msg_hello_t *hello);

#endif
