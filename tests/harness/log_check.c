#include "harness/log_check.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <string.h>

#include "common/log.h"

static char path[64];

void log_check_begin(void)
{
    g_strlcpy(path, "/tmp/trackcove-log-XXXXXX", sizeof(path));
    g_assert_true(g_close(g_mkstemp(path), NULL));
    g_assert_cmpint(log_open("box", path, NULL), ==, 0);
}

unsigned log_check_end(void)
{
    char *text = NULL;
    unsigned n = 0;
    log_close();
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    char **const lines = g_strsplit(text, "\n", 0);
    for (; lines[n] && lines[n][0]; n++) {
        json_t *const line = json_loads(lines[n], 0, NULL);
        if (!json_is_object(line))
            g_error("log line %u is no JSON object: %s", n, lines[n]);
        json_decref(line);
    }
    g_strfreev(lines);
    g_free(text);
    g_assert_cmpint(g_unlink(path), ==, 0);
    return n;
}
