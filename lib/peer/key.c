#include "peer/key.h"

#include <ctype.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum { KEY_FILE_MIN = 16, KEY_FILE_MAX = 4096, NONCE_BYTES = 24 };

int key_load(cluster_key_t *key, const char *path, tc_err_t *err)
{
    if (sodium_init() < 0)
        return tc_err_set(err, TC_E_IO, "load cluster key", path, "libsodium initialization failed");
    FILE *const in = fopen(path, "rb");
    if (!in)
        return tc_err_set(err, TC_E_IO, "load cluster key", path, "%s", strerror(errno));
    unsigned char data[KEY_FILE_MAX];
    size_t size = fread(data, 1, sizeof(data), in);
    fclose(in);
    while (size && isspace(data[size - 1]))
        size--;
    if (size < KEY_FILE_MIN)
        return tc_err_set(err, TC_E_INVALID, "load cluster key", path, "holds %zu bytes, at least %d are needed", size,
                          KEY_FILE_MIN);
    crypto_generichash(key->bytes, sizeof(key->bytes), data, size, NULL, 0);
    sodium_memzero(data, sizeof(data));
    return TC_OK;
}

int key_set_public(cluster_key_t *key, tc_err_t *err)
{
    static const char known[] = "trackcove, closed network";
    if (sodium_init() < 0)
        return tc_err_set(err, TC_E_IO, "open cluster key", NULL, "libsodium initialization failed");
    crypto_generichash(key->bytes, sizeof(key->bytes), (const unsigned char *)known, sizeof(known) - 1, NULL, 0);
    return TC_OK;
}

void key_make_nonce(msg_hello_t *hello)
{
    unsigned char random[NONCE_BYTES];
    randombytes_buf(random, sizeof(random));
    sodium_bin2hex(hello->nonce, sizeof(hello->nonce), random, sizeof(random));
}

void key_prove(const cluster_key_t *key, const char *direction, const char *their_nonce, const msg_hello_t *hello,
               char mac[CODEC_STR_SIZE])
{
    char text[CODEC_STR_SIZE * 5];
    const int n = snprintf(text, sizeof(text), "%s\n%s\n%s\n%s\n%s\n%llu", direction, their_nonce, hello->nonce,
                           hello->box, hello->addr, (unsigned long long)hello->incarnation);
    unsigned char digest[crypto_auth_hmacsha256_BYTES];
    crypto_auth_hmacsha256(digest, (const unsigned char *)text, (unsigned long long)n, key->bytes);
    sodium_bin2hex(mac, CODEC_STR_SIZE, digest, sizeof(digest));
}

bool key_verify(const cluster_key_t *key, const char *direction, const char *my_nonce, const msg_hello_t *hello)
{
    char expected[CODEC_STR_SIZE] = "";
    key_prove(key, direction, my_nonce, hello, expected);
    char given[CODEC_STR_SIZE] = "";
    codec_copy_string(given, sizeof(given), hello->mac);
    return sodium_memcmp(expected, given, sizeof(expected)) == 0;
}
