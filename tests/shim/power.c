#include "shim/power.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

enum { PATH_SIZE = 600, FILES_MAX = 256, OPERATIONS_MAX = 8192, NEVER = -1 };

/** A file at its last sync. */
typedef struct {
    ino_t inode;
    char path[PATH_SIZE];
    char *bytes;
    size_t size;
} file_t;

/** A write, or a change of the length, since the last sync of its file. */
typedef struct {
    ino_t inode;
    bool is_length;
    size_t at; /* the new length, if it is one */
    size_t size;
    char *bytes;
} operation_t;

/** A name that was changed since the last sync of the folder. */
typedef struct {
    char path[PATH_SIZE];
    char *bytes; /* contents before; NULL: there was no such file */
    size_t size;
} name_t;

static char folder[PATH_SIZE];
static file_t files[FILES_MAX];
static operation_t operations[OPERATIONS_MAX];
static name_t names[FILES_MAX];
static unsigned n_files, n_operations, n_names, n_syncs;
static int left = NEVER; /* operations until the power fails */
static bool off;
static bool is_preloaded;
static uint32_t state = 1;
static volatile sig_atomic_t requested;

static unsigned pick(unsigned n)
{
    state = state * 1664525u + 1013904223u;
    return (state >> 8) % n;
}

/* ===== Files, without observation ===== */

static int raw_open(const char *path, int flags)
{
    return (int)syscall(SYS_openat, AT_FDCWD, path, flags | O_CLOEXEC, 0600);
}

static char *read_whole(const char *path, size_t *size)
{
    const int fd = raw_open(path, O_RDONLY);
    struct stat info;
    *size = 0;
    if (fd < 0 || fstat(fd, &info) != 0)
        return NULL;
    char *const bytes = calloc(1, (size_t)info.st_size + 1);
    const ssize_t n = bytes ? read(fd, bytes, (size_t)info.st_size) : -1;
    if (n < 0)
        abort();
    *size = (size_t)n;
    close(fd);
    return bytes;
}

static void write_whole(const char *path, const char *bytes, size_t size)
{
    const int fd = raw_open(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (fd < 0 || syscall(SYS_write, fd, bytes, size) != (long)size)
        abort();
    close(fd);
}

/** Path of a file of the folder. @return false for other files */
static bool find_path(int fd, char path[PATH_SIZE])
{
    char link[64];
    snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
    const ssize_t n = folder[0] ? readlink(link, path, PATH_SIZE - 1) : -1;
    if (n <= 0)
        return false;
    path[n] = '\0';
    return strncmp(path, folder, strlen(folder)) == 0 && !strstr(path, " (deleted)");
}

static bool is_in_folder(const char *path)
{
    return folder[0] && strncmp(path, folder, strlen(folder)) == 0;
}

/* ===== What is synced ===== */

static void forget_operations(ino_t inode)
{
    unsigned kept = 0;
    for (unsigned i = 0; i < n_operations; i++) {
        if (operations[i].inode == inode) {
            free(operations[i].bytes);
            operations[i].bytes = NULL;
        } else {
            operations[kept++] = operations[i];
        }
    }
    n_operations = kept;
}

static void forget_names(void)
{
    while (n_names > 0)
        free(names[--n_names].bytes);
}

/** State of the file at its last sync. A file that was not seen before is read: nothing of it is unsynced. */
static file_t *find_file(const char *path, ino_t inode)
{
    for (unsigned i = 0; i < n_files; i++) {
        if (files[i].inode == inode) {
            snprintf(files[i].path, sizeof(files[i].path), "%s", path);
            return &files[i];
        }
    }
    if (n_files == FILES_MAX)
        abort();
    file_t *const f = &files[n_files++];
    f->inode = inode;
    snprintf(f->path, sizeof(f->path), "%s", path);
    f->bytes = read_whole(path, &f->size);
    return f;
}

/** Also for a new file, whose inode may have been that of a removed one. */
static void note_sync(const char *path, ino_t inode)
{
    file_t *const f = find_file(path, inode);
    forget_operations(inode);
    free(f->bytes);
    f->bytes = read_whole(path, &f->size);
}

static void note_operation(ino_t inode, bool is_length, size_t at, const void *bytes, size_t size)
{
    if (n_operations == OPERATIONS_MAX)
        abort();
    operation_t *const o = &operations[n_operations++];
    *o = (operation_t){.inode = inode, .is_length = is_length, .at = at, .size = size, .bytes = malloc(size + 1)};
    if (!o->bytes)
        abort();
    if (size > 0)
        memcpy(o->bytes, bytes, size);
}

static void note_name(const char *path)
{
    if (n_names == FILES_MAX)
        abort();
    name_t *const name = &names[n_names++];
    snprintf(name->path, sizeof(name->path), "%s", path);
    name->bytes = read_whole(path, &name->size);
}

/* ===== Loss of power ===== */

/** Applies the bytes [from, to) of a write to a file's contents. */
static void apply(char **bytes, size_t *size, const operation_t *o, size_t from, size_t to)
{
    const size_t end = o->at + (o->is_length ? 0 : to);
    if (o->is_length || end > *size) {
        *bytes = realloc(*bytes, end + 1);
        if (!*bytes)
            abort();
        if (end > *size)
            memset(*bytes + *size, 0, end - *size);
        *size = end;
    }
    if (!o->is_length)
        memcpy(*bytes + o->at + from, o->bytes + from, to - from);
}

/** Contents of a file after the loss. */
static void lose_writes(const file_t *f, bool all)
{
    size_t size = f->size;
    char *bytes = malloc(size + 1);
    if (!bytes)
        abort();
    if (size > 0)
        memcpy(bytes, f->bytes, size);
    for (unsigned i = 0; i < n_operations; i++) {
        const operation_t *const o = &operations[i];
        const unsigned fate = pick(3);
        if (o->inode != f->inode || all || fate == 0)
            continue;
        size_t from = 0, to = o->size;
        if (fate == 1 && o->size > 1) { /* torn: its beginning, its end or both are missing */
            from = pick(2) ? 0 : pick((unsigned)o->size);
            to = from == 0 || pick(2) ? from + 1 + pick((unsigned)(o->size - from)) : o->size;
        }
        apply(&bytes, &size, o, from, to);
    }
    write_whole(f->path, bytes, size);
    free(bytes);
}

void power_lose(void)
{
    const bool all = pick(4) == 0;
    for (unsigned i = 0; i < n_files; i++) {
        struct stat info;
        if (stat(files[i].path, &info) == 0 && info.st_ino == files[i].inode) /* else it was replaced or removed */
            lose_writes(&files[i], all);
    }
    for (unsigned i = n_names; i > 0; i--) {
        const name_t *const name = &names[i - 1];
        if (pick(2))
            continue;
        if (name->bytes)
            write_whole(name->path, name->bytes, name->size);
        else
            (void)syscall(SYS_unlinkat, AT_FDCWD, name->path, 0);
    }
    while (n_operations > 0)
        forget_operations(operations[0].inode);
    while (n_files > 0)
        free(files[--n_files].bytes);
    forget_names();
    folder[0] = '\0';
    off = false;
    left = NEVER;
}

void power_watch(const char *dir, uint32_t seed)
{
    snprintf(folder, sizeof(folder), "%s/", dir);
    state = seed;
    n_syncs = 0;
}

unsigned power_syncs(void)
{
    return n_syncs;
}

void power_fail_after(unsigned count)
{
    left = (int)count;
}

bool power_is_off(void)
{
    return off;
}

/** Counts an operation on the folder. @return false when the power is off */
static bool begin_operation(void)
{
    if (left == 0)
        off = true;
    if (left > 0)
        left--;
    if (off && is_preloaded) {
        power_lose();
        kill(getpid(), SIGKILL);
    }
    return !off;
}

/* ===== Observed operations ===== */

ssize_t pwrite(int fd, const void *bytes, size_t size, off_t at)
{
    char path[PATH_SIZE];
    struct stat info;
    if (!find_path(fd, path) || fstat(fd, &info) != 0)
        return syscall(SYS_pwrite64, fd, bytes, size, at);
    (void)find_file(path, info.st_ino);
    if (!begin_operation())
        return (ssize_t)size;
    const ssize_t n = syscall(SYS_pwrite64, fd, bytes, size, at);
    if (n > 0)
        note_operation(info.st_ino, false, (size_t)at, bytes, (size_t)n);
    return n;
}

ssize_t write(int fd, const void *bytes, size_t size)
{
    char path[PATH_SIZE];
    struct stat info;
    if (!find_path(fd, path) || fstat(fd, &info) != 0)
        return syscall(SYS_write, fd, bytes, size);
    (void)find_file(path, info.st_ino);
    if (!begin_operation())
        return (ssize_t)size;
    const off_t at = fcntl(fd, F_GETFL) & O_APPEND ? info.st_size : lseek(fd, 0, SEEK_CUR);
    const ssize_t n = syscall(SYS_write, fd, bytes, size);
    if (n > 0)
        note_operation(info.st_ino, false, (size_t)at, bytes, (size_t)n);
    return n;
}

int ftruncate(int fd, off_t length)
{
    char path[PATH_SIZE];
    struct stat info;
    if (!find_path(fd, path) || fstat(fd, &info) != 0)
        return (int)syscall(SYS_ftruncate, fd, length);
    (void)find_file(path, info.st_ino);
    if (!begin_operation())
        return 0;
    const int rc = (int)syscall(SYS_ftruncate, fd, length);
    if (rc == 0)
        note_operation(info.st_ino, true, (size_t)length, NULL, 0);
    return rc;
}

static int sync_file(int fd, long call)
{
    char path[PATH_SIZE];
    struct stat info;
    const bool is_observed = find_path(fd, path) && fstat(fd, &info) == 0;
    struct stat of_folder;
    const bool is_folder = folder[0] && fstat(fd, &info) == 0 && S_ISDIR(info.st_mode) &&
                           stat(folder, &of_folder) == 0 && of_folder.st_ino == info.st_ino;
    /* Rarely while a file is written under a temporary name: nothing depends on that one yet. */
    if (requested && is_observed && n_operations > 0 && pick(strstr(path, ".new") ? 8 : 2) == 0)
        left = 0;
    if ((is_observed || is_folder) && !begin_operation())
        return 0;
    const int rc = (int)syscall(call, fd);
    if (rc == 0 && is_folder)
        forget_names();
    else if (rc == 0 && is_observed)
        note_sync(path, info.st_ino);
    n_syncs += rc == 0 && is_observed && !strstr(path, ".new");
    return rc;
}

int fsync(int fd)
{
    return sync_file(fd, SYS_fsync);
}

int fdatasync(int fd)
{
    return sync_file(fd, SYS_fdatasync);
}

int rename(const char *from, const char *to)
{
    if (is_in_folder(to)) {
        if (!begin_operation())
            return 0;
        note_name(to);
    }
    return (int)syscall(SYS_renameat, AT_FDCWD, from, AT_FDCWD, to);
}

int unlinkat(int dir, const char *name, int flags)
{
    char path[PATH_SIZE * 2];
    snprintf(path, sizeof(path), "%s%s", folder, name);
    struct stat info, of_folder;
    if (folder[0] && fstat(dir, &info) == 0 && stat(folder, &of_folder) == 0 && info.st_ino == of_folder.st_ino) {
        if (!begin_operation())
            return 0;
        note_name(path);
    }
    return (int)syscall(SYS_unlinkat, dir, name, flags);
}

int open(const char *path, int flags, ...)
{
    va_list args;
    va_start(args, flags);
    const mode_t mode = flags & O_CREAT ? va_arg(args, mode_t) : 0;
    va_end(args);
    const int kept = off && is_in_folder(path) ? flags & ~O_TRUNC : flags;
    const int fd = (int)syscall(SYS_openat, AT_FDCWD, path, kept, mode);
    struct stat info;
    if (fd < 0 || !(kept & (O_TRUNC | O_CREAT)) || !is_in_folder(path) || fstat(fd, &info) != 0 || info.st_size > 0)
        return fd;
    note_sync(path, info.st_ino);
    return fd;
}

/* ===== Preloaded ===== */

static void request(int number)
{
    (void)number;
    requested = 1;
}

__attribute__((constructor)) static void install(void)
{
    const char *const dir = getenv("SHIM_POWER_DIR");
    if (!dir)
        return;
    is_preloaded = true;
    power_watch(dir, (uint32_t)getpid());
    const struct sigaction action = {.sa_handler = request, .sa_flags = SA_RESTART};
    sigaction(SIGUSR1, &action, NULL);
}
