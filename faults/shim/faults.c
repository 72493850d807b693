/* A library to preload into a process under test. It makes system calls fail in ways that Linux documents and steps the
 * wall clock, as a control page says that another process writes. Without FAULTS_CONTROL in the environment it changes
 * nothing. The layout of the page is told again in src/lib.rs. */

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

enum kind { ACCEPT, CONNECT, SOCKET, OPEN, WRITE, SYNC, WAIT, SHORT, EXHAUSTED, KINDS };

struct page {
    _Atomic uint32_t per_mille[16];
    _Atomic int64_t wall_step_ms;
    _Atomic uint32_t injected[16];
};

#define DESCRIPTORS 65536
#define MOST_PATH 1024

static struct page *page;
static char folder[MOST_PATH];
static _Atomic uint64_t chance_state = 0x9e3779b97f4a7c15u;
/* For each descriptor: whether it is a file under the folder, whether its next write fails, and where it is waited for. */
static _Atomic char watched[DESCRIPTORS];
static _Atomic char fails_next[DESCRIPTORS];
struct registration {
    _Atomic int poller;
    uint32_t events;
    epoll_data_t data;
};
static struct registration registered[DESCRIPTORS];

#define REAL(name) \
    static __typeof__(&name) real_##name; \
    if (!real_##name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void begin(void) {
    for (int at = 0; at < DESCRIPTORS; at++) registered[at].poller = -1;
    const char *seed = getenv("FAULTS_SEED"), *under = getenv("FAULTS_FOLDER"), *path = getenv("FAULTS_CONTROL");
    if (seed) chance_state ^= strtoull(seed, NULL, 10) * 0xbf58476d1ce4e5b9u;
    if (under) strncpy(folder, under, MOST_PATH - 1);
    if (!path) return;
    REAL(open);
    int file = real_open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) return;
    struct stat known;
    if (fstat(file, &known) == 0 && known.st_size >= (off_t)sizeof(struct page)) {
        void *at = mmap(NULL, sizeof(struct page), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        if (at != MAP_FAILED) page = at;
    }
    close(file);
}

static uint64_t chance(void) {
    uint64_t x = atomic_fetch_add(&chance_state, 0x9e3779b97f4a7c15u);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return x ^ (x >> 31);
}

static int strikes(enum kind kind) {
    if (!page) return 0;
    uint32_t rate = page->per_mille[kind];
    if (!rate || chance() % 1000 >= rate) return 0;
    atomic_fetch_add(&page->injected[kind], 1);
    return 1;
}

static int one_of(const int *errors, size_t count) {
    errno = errors[chance() % count];
    return -1;
}
#define FAIL(...) \
    do { \
        static const int errors[] = {__VA_ARGS__}; \
        return one_of(errors, sizeof errors / sizeof *errors); \
    } while (0)

static int known(int fd) { return fd >= 0 && fd < DESCRIPTORS; }

/* The wall clock. */

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int done = real_clock_gettime(clock, now);
    if (done == 0 && page && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step = page->wall_step_ms;
        int64_t nanos = (int64_t)now->tv_nsec + step % 1000 * 1000000;
        now->tv_sec += step / 1000;
        if (nanos < 0) { nanos += 1000000000; now->tv_sec--; }
        if (nanos >= 1000000000) { nanos -= 1000000000; now->tv_sec++; }
        now->tv_nsec = nanos;
    }
    return done;
}

/* Sockets. */

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (strikes(EXHAUSTED)) FAIL(EMFILE);
    if (strikes(ACCEPT)) FAIL(ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM, EHOSTUNREACH, ENETUNREACH);
    return real_accept4(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (strikes(CONNECT)) FAIL(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED);
    return real_connect(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (strikes(SOCKET)) FAIL(ENFILE, ENOBUFS, ENOMEM);
    return real_socket(domain, type, protocol);
}

/* A short transfer is followed by a fresh edge, since a program may take it as the end of what there is. */
static void edge(int fd) {
    if (!known(fd) || registered[fd].poller < 0) return;
    REAL(epoll_ctl);
    struct epoll_event again = {.events = registered[fd].events, .data = registered[fd].data};
    int kept = errno;
    real_epoll_ctl(registered[fd].poller, EPOLL_CTL_MOD, fd, &again);
    errno = kept;
}

int epoll_ctl(int poller, int what, int fd, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (known(fd)) {
        if (what == EPOLL_CTL_DEL) {
            registered[fd].poller = -1;
        } else if (event) {
            registered[fd].events = event->events;
            registered[fd].data = event->data;
            registered[fd].poller = poller;
        }
    }
    return real_epoll_ctl(poller, what, fd, event);
}

int epoll_wait(int poller, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (strikes(WAIT)) FAIL(EINTR);
    return real_epoll_wait(poller, events, most, timeout);
}

static size_t shortened(size_t length) { return length > 1 && strikes(SHORT) ? 1 + chance() % (length - 1) : length; }

ssize_t recv(int fd, void *to, size_t length, int flags) {
    REAL(recv);
    size_t less = flags & MSG_PEEK ? length : shortened(length);
    ssize_t got = real_recv(fd, to, less, flags);
    if (less < length && got > 0) edge(fd);
    return got;
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    REAL(send);
    size_t less = shortened(length);
    ssize_t put = real_send(fd, from, less, flags);
    if (less < length && put > 0) edge(fd);
    return put;
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (count > 0 && parts[0].iov_len > 1 && strikes(SHORT)) {
        REAL(write);
        ssize_t put = real_write(fd, parts[0].iov_base, 1 + chance() % (parts[0].iov_len - 1));
        if (put > 0) edge(fd);
        return put;
    }
    return real_writev(fd, parts, count);
}

int close(int fd) {
    REAL(close);
    if (known(fd)) {
        watched[fd] = 0;
        fails_next[fd] = 0;
        registered[fd].poller = -1;
    }
    return real_close(fd);
}

/* Files under the folder. */

static int under_folder(const char *path) { return folder[0] && path && strncmp(path, folder, strlen(folder)) == 0; }

static int noted(int fd, int under) {
    if (known(fd)) watched[fd] = under;
    return fd;
}

static int opened(int (*real)(const char *, int, ...), const char *path, int flags, mode_t mode) {
    int under = under_folder(path);
    if (under && strikes(OPEN)) FAIL(ENOSPC, EIO, ENFILE);
    return noted(real(path, flags, mode), under);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return opened(real_open64, path, flags, mode);
}

int open(const char *path, int flags, ...) {
    REAL(open);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return opened(real_open, path, flags, mode);
}

int dup2(int from, int to) {
    REAL(dup2);
    int done = real_dup2(from, to);
    if (done >= 0 && known(from) && known(to)) watched[to] = watched[from];
    return done;
}

ssize_t write(int fd, const void *from, size_t length) {
    REAL(write);
    if (known(fd) && watched[fd]) {
        if (fails_next[fd]) {
            fails_next[fd] = 0;
            FAIL(ENOSPC, EIO);
        }
        if (strikes(WRITE)) {
            /* Half a record first, and then no room for the rest. */
            if (length > 1 && chance() % 2) {
                fails_next[fd] = 1;
                return real_write(fd, from, 1 + chance() % (length - 1));
            }
            FAIL(ENOSPC, EIO);
        }
    }
    return real_write(fd, from, length);
}

int ftruncate64(int fd, off64_t length) {
    REAL(ftruncate64);
    if (known(fd) && watched[fd] && strikes(WRITE)) FAIL(EIO);
    return real_ftruncate64(fd, length);
}

int fsync(int fd) {
    REAL(fsync);
    if (known(fd) && watched[fd] && strikes(SYNC)) FAIL(ENOSPC, EIO);
    return real_fsync(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    if (known(fd) && watched[fd] && strikes(SYNC)) FAIL(ENOSPC, EIO);
    return real_fdatasync(fd);
}
