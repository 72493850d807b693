/* A library to preload into a process under test. It makes system calls fail in ways that Linux documents and steps the
 * wall clock. The rates and the step are read from a control file that another process writes. Without FAULTS_CONTROL
 * in the environment it changes nothing. The layout of struct control must match the offsets in src/lib.rs. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault_kind { ACCEPT, CONNECT, SOCKET, OPEN, WRITE, SYNC, WAIT, SHORT, EXHAUSTED, SLOW_SYNC, FAULT_KINDS };

struct control {
    _Atomic uint32_t per_mille[16];
    _Atomic int64_t wall_step_ms;
    _Atomic uint32_t injected[16];
};

#define MAX_DESCRIPTORS 65536
#define MAX_PATH_BYTES 1024

static struct control *control;
static char folder[MAX_PATH_BYTES];
static _Atomic uint64_t random_state = 0x9e3779b97f4a7c15u;
/* For each descriptor: is it a file under the folder, does its next write fail, and how epoll waits for it. */
static _Atomic char in_folder[MAX_DESCRIPTORS];
static _Atomic char fail_next_write[MAX_DESCRIPTORS];
struct registration {
    _Atomic int epoll_fd;
    uint32_t events;
    epoll_data_t data;
};
static struct registration registrations[MAX_DESCRIPTORS];

#define REAL(name) \
    static __typeof__(&name) real_##name; \
    if (!real_##name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void initialize(void) {
    for (int fd = 0; fd < MAX_DESCRIPTORS; fd++) registrations[fd].epoll_fd = -1;
    const char *seed = getenv("FAULTS_SEED"), *folder_path = getenv("FAULTS_FOLDER"), *path = getenv("FAULTS_CONTROL");
    if (seed) random_state ^= strtoull(seed, NULL, 10) * 0xbf58476d1ce4e5b9u;
    if (folder_path) strncpy(folder, folder_path, MAX_PATH_BYTES - 1);
    if (!path) return;
    REAL(open);
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    struct stat info;
    if (fstat(fd, &info) == 0 && info.st_size >= (off_t)sizeof(struct control)) {
        void *mapping = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        if (mapping != MAP_FAILED) control = mapping;
    }
    close(fd);
}

static uint64_t random_u64(void) {
    uint64_t x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

/* Whether to inject a fault of this kind now; counts it if so. */
static int inject(enum fault_kind kind) {
    if (!control) return 0;
    uint32_t rate = control->per_mille[kind];
    if (!rate || random_u64() % 1000 >= rate) return 0;
    atomic_fetch_add(&control->injected[kind], 1);
    return 1;
}

static int fail_with_one_of(const int *errors, size_t count) {
    errno = errors[random_u64() % count];
    return -1;
}
#define FAIL(...) \
    do { \
        static const int errors[] = {__VA_ARGS__}; \
        return fail_with_one_of(errors, sizeof errors / sizeof *errors); \
    } while (0)

static int is_tracked(int fd) { return fd >= 0 && fd < MAX_DESCRIPTORS; }

/* The wall clock. */

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real_clock_gettime(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step_ms = control->wall_step_ms;
        int64_t nanos = (int64_t)now->tv_nsec + step_ms % 1000 * 1000000;
        now->tv_sec += step_ms / 1000;
        if (nanos < 0) { nanos += 1000000000; now->tv_sec--; }
        if (nanos >= 1000000000) { nanos -= 1000000000; now->tv_sec++; }
        now->tv_nsec = nanos;
    }
    return result;
}

/* Sockets. */

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (inject(EXHAUSTED)) FAIL(EMFILE);
    if (inject(ACCEPT)) FAIL(ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM, EHOSTUNREACH, ENETUNREACH);
    return real_accept4(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (inject(CONNECT)) FAIL(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED);
    return real_connect(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (inject(SOCKET)) FAIL(ENFILE, ENOBUFS, ENOMEM);
    return real_socket(domain, type, protocol);
}

/* Triggers a new epoll event after a short transfer: a program may take it as the end of what is available. */
static void rearm(int fd) {
    if (!is_tracked(fd) || registrations[fd].epoll_fd < 0) return;
    REAL(epoll_ctl);
    struct epoll_event event = {.events = registrations[fd].events, .data = registrations[fd].data};
    int saved_errno = errno;
    real_epoll_ctl(registrations[fd].epoll_fd, EPOLL_CTL_MOD, fd, &event);
    errno = saved_errno;
}

int epoll_ctl(int epoll_fd, int operation, int fd, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (is_tracked(fd)) {
        if (operation == EPOLL_CTL_DEL) {
            registrations[fd].epoll_fd = -1;
        } else if (event) {
            registrations[fd].events = event->events;
            registrations[fd].data = event->data;
            registrations[fd].epoll_fd = epoll_fd;
        }
    }
    return real_epoll_ctl(epoll_fd, operation, fd, event);
}

int epoll_wait(int epoll_fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    if (inject(WAIT)) FAIL(EINTR);
    return real_epoll_wait(epoll_fd, events, max_events, timeout);
}

static size_t shortened(size_t length) {
    return length > 1 && inject(SHORT) ? 1 + random_u64() % (length - 1) : length;
}

ssize_t recv(int fd, void *to, size_t length, int flags) {
    REAL(recv);
    size_t short_size = flags & MSG_PEEK ? length : shortened(length);
    ssize_t received = real_recv(fd, to, short_size, flags);
    if (short_size < length && received > 0) rearm(fd);
    return received;
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    REAL(send);
    size_t short_size = shortened(length);
    ssize_t sent = real_send(fd, from, short_size, flags);
    if (short_size < length && sent > 0) rearm(fd);
    return sent;
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (count > 0 && parts[0].iov_len > 1 && inject(SHORT)) {
        REAL(write);
        ssize_t sent = real_write(fd, parts[0].iov_base, 1 + random_u64() % (parts[0].iov_len - 1));
        if (sent > 0) rearm(fd);
        return sent;
    }
    return real_writev(fd, parts, count);
}

int close(int fd) {
    REAL(close);
    if (is_tracked(fd)) {
        in_folder[fd] = 0;
        fail_next_write[fd] = 0;
        registrations[fd].epoll_fd = -1;
    }
    return real_close(fd);
}

/* Files under the folder. */

static int under_folder(const char *path) { return folder[0] && path && strncmp(path, folder, strlen(folder)) == 0; }

static int track(int fd, int under) {
    if (is_tracked(fd)) in_folder[fd] = under;
    return fd;
}

static int open_file(int (*real_open)(const char *, int, ...), const char *path, int flags, mode_t mode) {
    int under = under_folder(path);
    if (under && inject(OPEN)) FAIL(ENOSPC, EIO, ENFILE);
    return track(real_open(path, flags, mode), under);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return open_file(real_open64, path, flags, mode);
}

int open(const char *path, int flags, ...) {
    REAL(open);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return open_file(real_open, path, flags, mode);
}

int dup2(int from, int to) {
    REAL(dup2);
    int result = real_dup2(from, to);
    if (result >= 0 && is_tracked(from) && is_tracked(to)) in_folder[to] = in_folder[from];
    return result;
}

ssize_t write(int fd, const void *from, size_t length) {
    REAL(write);
    if (is_tracked(fd) && in_folder[fd]) {
        if (fail_next_write[fd]) {
            fail_next_write[fd] = 0;
            FAIL(ENOSPC, EIO);
        }
        if (inject(WRITE)) {
            /* Writes a part, and fails the write of the rest. */
            if (length > 1 && random_u64() % 2) {
                fail_next_write[fd] = 1;
                return real_write(fd, from, 1 + random_u64() % (length - 1));
            }
            FAIL(ENOSPC, EIO);
        }
    }
    return real_write(fd, from, length);
}

int ftruncate64(int fd, off64_t length) {
    REAL(ftruncate64);
    if (is_tracked(fd) && in_folder[fd] && inject(WRITE)) FAIL(EIO);
    return real_ftruncate64(fd, length);
}

/* A disk that answers only after this time, in seconds. */
#define SLOW_SYNC_SECONDS 10

static void delay_sync(int fd) {
    if (is_tracked(fd) && in_folder[fd] && inject(SLOW_SYNC)) {
        struct timespec delay = {.tv_sec = SLOW_SYNC_SECONDS};
        nanosleep(&delay, NULL);
    }
}

int fsync(int fd) {
    REAL(fsync);
    delay_sync(fd);
    if (is_tracked(fd) && in_folder[fd] && inject(SYNC)) FAIL(ENOSPC, EIO);
    return real_fsync(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    delay_sync(fd);
    if (is_tracked(fd) && in_folder[fd] && inject(SYNC)) FAIL(ENOSPC, EIO);
    return real_fdatasync(fd);
}
