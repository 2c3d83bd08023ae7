#include "web/web.h"

#include <string.h>

/* ===== Header lists ===== */

static void header_clear(void *line)
{
    web_header_t *const h = line;
    g_free(h->name);
    g_free(h->value);
}

void web_headers_init(web_headers_t *headers)
{
    headers->lines = g_array_new(FALSE, TRUE, sizeof(web_header_t));
    g_array_set_clear_func(headers->lines, header_clear);
    headers->value_opened = false;
    headers->bytes = 0;
}

void web_headers_clear(web_headers_t *headers)
{
    g_array_set_size(headers->lines, 0);
    headers->value_opened = false;
    headers->bytes = 0;
}

void web_headers_free(web_headers_t *headers)
{
    if (headers->lines)
        g_array_free(headers->lines, TRUE);
    headers->lines = NULL;
}

static char *append_text(char *text, const char *data, size_t size)
{
    const size_t had = text ? strlen(text) : 0;
    char *const longer = g_realloc(text, had + size + 1);
    memcpy(longer + had, data, size);
    longer[had + size] = '\0';
    return longer;
}

void web_headers_on_name(web_headers_t *headers, const char *data, size_t size)
{
    headers->bytes += size;
    const bool fresh = headers->lines->len == 0 || headers->value_opened;
    if (fresh) {
        const web_header_t empty = {0};
        g_array_append_val(headers->lines, empty);
        headers->value_opened = false;
    }
    web_header_t *const last = &g_array_index(headers->lines, web_header_t, headers->lines->len - 1);
    last->name = append_text(last->name, data, size);
}

void web_headers_on_value(web_headers_t *headers, const char *data, size_t size)
{
    headers->bytes += size;
    headers->value_opened = true;
    if (headers->lines->len == 0)
        return;
    web_header_t *const last = &g_array_index(headers->lines, web_header_t, headers->lines->len - 1);
    last->value = append_text(last->value, data, size);
}

const char *web_headers_get(const web_headers_t *headers, const char *name)
{
    for (guint i = 0; i < headers->lines->len; i++) {
        const web_header_t *const h = &g_array_index(headers->lines, web_header_t, i);
        if (h->name && g_ascii_strcasecmp(h->name, name) == 0)
            return h->value ? h->value : "";
    }
    return NULL;
}

bool web_headers_are_valid(const web_headers_t *headers)
{
    for (guint i = 0; i < headers->lines->len; i++) {
        const char *const name = g_array_index(headers->lines, web_header_t, i).name;
        if (!name || !name[0])
            return false;
        for (const char *c = name; *c; c++)
            if (!g_ascii_isalnum(*c) && !strchr("!#$%&'*+-.^_`|~", *c))
                return false;
    }
    return true;
}

bool web_headers_strip_names(const web_headers_t *headers)
{
    static const char *const framing[] = {"Transfer-Encoding", "Content-Length"};
    for (guint i = 0; i < headers->lines->len; i++) {
        char *const name = g_array_index(headers->lines, web_header_t, i).name;
        const size_t size = name ? strlen(name) : 0;
        if (size == 0 || !strchr(" \t", name[size - 1]))
            continue;
        g_strchomp(name);
        for (size_t k = 0; k < G_N_ELEMENTS(framing); k++)
            if (g_ascii_strcasecmp(name, framing[k]) == 0)
                return false;
    }
    return true;
}

/* ===== Hop-by-hop headers ===== */

static bool list_has_token(const char *list, const char *name)
{
    char **const words = g_strsplit(list, ",", -1);
    bool found = false;
    for (char **word = words; *word && !found; word++)
        found = g_ascii_strcasecmp(g_strstrip(*word), name) == 0;
    g_strfreev(words);
    return found;
}

bool web_header_is_hop_by_hop(const web_headers_t *headers, const char *name)
{
    static const char *const fixed[] = {"Connection",
                                        "Keep-Alive",
                                        "Proxy-Connection",
                                        "Proxy-Authenticate",
                                        "Proxy-Authorization",
                                        "TE",
                                        "Trailer",
                                        "Transfer-Encoding",
                                        "Upgrade",
                                        "Content-Length",
                                        "Expect"};
    for (size_t i = 0; i < G_N_ELEMENTS(fixed); i++)
        if (g_ascii_strcasecmp(name, fixed[i]) == 0)
            return true;
    for (guint i = 0; i < headers->lines->len; i++) {
        const web_header_t *const h = &g_array_index(headers->lines, web_header_t, i);
        if (h->value && g_ascii_strcasecmp(h->name, "Connection") == 0 && list_has_token(h->value, name))
            return true;
    }
    return false;
}

void web_append_header(GString *to, const char *name, const char *value)
{
    g_string_append_printf(to, "%s: ", name);
    for (const char *c = value; *c; c++)
        g_string_append_c(to, (unsigned char)*c < 0x20 ? ' ' : *c);
    g_string_append(to, "\r\n");
}
