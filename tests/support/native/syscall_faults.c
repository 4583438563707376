/*
 * Preload library for tests of the gateway as a process. It holds the process up at a chosen place, or makes
 * accept fail. The environment variables FAULT_* select the faults; a fault whose variable is unset is off.
 *
 * FAULT_HOLD_UP_MS              length of a hold-up
 * FAULT_AT_CLOCK_READ=N         hold-up after the Nth read of the monotonic clock that follows the receipt of
 *                               data that begins with FAULT_AFTER_PREFIX; the caller then has a time that is
 *                               out of date
 * FAULT_AT_RESPONSE_PREFIX=TEXT hold-up before data that begins with TEXT is sent
 * FAULT_SOCKET_FAILURES=N       the first N calls of socket fail with ENFILE
 * FAULT_ACCEPT_EVERY=N          each Nth accept fails: with ENFILE, ECONNABORTED and ENOBUFS in turn
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static const int ACCEPT_ERRORS[] = {ENFILE, ECONNABORTED, ENOBUFS};

static int clock_reads_left = 0; /* until the hold-up; 0: none is due */
static int socket_count = 0;
static int accept_count = 0;
static int accept_error_count = 0;

static int number(const char *name) {
    const char *value = getenv(name);
    return value == NULL ? 0 : atoi(value);
}

static int starts_with(const void *data, size_t length, const char *prefix) {
    return prefix != NULL && length >= strlen(prefix) && memcmp(data, prefix, strlen(prefix)) == 0;
}

static void hold_up(void) {
    int length_ms = number("FAULT_HOLD_UP_MS");
    struct timespec length = {length_ms / 1000, (length_ms % 1000) * 1000000L};
    nanosleep(&length, NULL);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
    static ssize_t (*next)(int, void *, size_t, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "recv");
    ssize_t length = next(descriptor, buffer, size, flags);
    if (length > 0 && starts_with(buffer, (size_t)length, getenv("FAULT_AFTER_PREFIX")))
        clock_reads_left = number("FAULT_AT_CLOCK_READ");
    return length;
}

ssize_t send(int descriptor, const void *data, size_t length, int flags) {
    static ssize_t (*next)(int, const void *, size_t, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "send");
    if (starts_with(data, length, getenv("FAULT_AT_RESPONSE_PREFIX"))) hold_up();
    return next(descriptor, data, length, flags);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*next)(clockid_t, struct timespec *);
    if (next == NULL) next = dlsym(RTLD_NEXT, "clock_gettime");
    int result = next(clock, now);
    if (clock == CLOCK_MONOTONIC && clock_reads_left > 0 && --clock_reads_left == 0) hold_up();
    return result;
}

int socket(int domain, int type, int protocol) {
    static int (*next)(int, int, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "socket");
    if (socket_count++ >= number("FAULT_SOCKET_FAILURES")) return next(domain, type, protocol);
    errno = ENFILE;
    return -1;
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*next)(int, struct sockaddr *, socklen_t *, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "accept4");
    int every = number("FAULT_ACCEPT_EVERY");
    if (every == 0 || ++accept_count % every != 0) return next(listener, address, length, flags);
    int error = ACCEPT_ERRORS[accept_error_count++ % 3];
    if (error == ECONNABORTED) { /* the only one of these errors that removes the connection from the backlog */
        int aborted = next(listener, address, length, flags);
        if (aborted < 0) return aborted;
        close(aborted);
    }
    errno = error;
    return -1;
}
