/*
 * Preload library for tests of the gateway as a process. It holds the process up at a chosen place, or makes
 * accept fail. The environment variables FAULT_* select the faults; a fault whose variable is unset is off.
 *
 * FAULT_HOLD_UP_MS              length of a hold-up
 * FAULT_AT_CLOCK_READ=N         hold-up after the Nth read of the monotonic clock that follows the receipt of
 *                               data that begins with FAULT_AFTER_PREFIX; the caller then has a time that is
 *                               out of date
 * FAULT_AT_RESPONSE_PREFIX=TEXT hold-up before data that begins with TEXT is sent
 * FAULT_HOLD_UP_EVERY=N         a hold-up of up to FAULT_HOLD_UP_MS after one in N clock reads and before one in
 *                               N sends, at random but not within a second after the one before
 * FAULT_SEED=N                  seed of these random numbers
 * FAULT_SHORT_EVERY=N           each Nth recv and send handles seven bytes at most
 * FAULT_CONNECT_EVERY=N         each Nth connect fails: EADDRNOTAVAIL, ENETUNREACH and ENOBUFS in turn
 * FAULT_RESET_EVERY=N           each Nth recv on a connection that the process opened fails: ETIMEDOUT and
 *                               EHOSTUNREACH in turn
 * FAULT_WALL_STEP_S=N           the wall clock is N seconds ahead in each second stretch of three seconds
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

static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
static const size_t SHORT_LENGTH = 7;
static const int WALL_STRETCH_S = 3;
static const time_t MIN_HOLD_UP_GAP_S = 2; /* in whole seconds of the clock, so at least one second */

static int clock_reads_left = 0; /* until the hold-up; 0: none is due */
static unsigned int random_state = 0;
static time_t held_up_at_s = 0;
static const int RESET_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH};
static const int MAX_DESCRIPTORS = 4096;
static char is_opened_here[4096];
static int reset_count = 0;
static int connect_count = 0;
static int short_count = 0;
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

static void sleep_ms(int length_ms) {
    struct timespec length = {length_ms / 1000, (length_ms % 1000) * 1000000L};
    nanosleep(&length, NULL);
}

static void hold_up(void) { sleep_ms(number("FAULT_HOLD_UP_MS")); }

static int read_clock(clockid_t clock, struct timespec *now) {
    static int (*next)(clockid_t, struct timespec *);
    if (next == NULL) next = dlsym(RTLD_NEXT, "clock_gettime");
    return next(clock, now);
}

static void hold_up_at_random(void) {
    int every = number("FAULT_HOLD_UP_EVERY");
    if (every == 0) return;
    if (random_state == 0) random_state = (unsigned int)number("FAULT_SEED") + 1;
    if (rand_r(&random_state) % every != 0) return;
    struct timespec now;
    read_clock(CLOCK_MONOTONIC, &now);
    if (now.tv_sec < held_up_at_s + MIN_HOLD_UP_GAP_S) return;
    held_up_at_s = now.tv_sec;
    sleep_ms(rand_r(&random_state) % (number("FAULT_HOLD_UP_MS") + 1));
}

static size_t shortened(size_t length) {
    int every = number("FAULT_SHORT_EVERY");
    if (every == 0 || ++short_count % every != 0 || length < SHORT_LENGTH) return length;
    return SHORT_LENGTH;
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
    static ssize_t (*next)(int, void *, size_t, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "recv");
    int every = number("FAULT_RESET_EVERY");
    int may_fail = every != 0 && descriptor < MAX_DESCRIPTORS && is_opened_here[descriptor];
    if (may_fail && ++reset_count % every == 0) {
        errno = RESET_ERRORS[reset_count / every % 2];
        return -1;
    }
    ssize_t length = next(descriptor, buffer, shortened(size), flags);
    if (length > 0 && starts_with(buffer, (size_t)length, getenv("FAULT_AFTER_PREFIX")))
        clock_reads_left = number("FAULT_AT_CLOCK_READ");
    return length;
}

ssize_t send(int descriptor, const void *data, size_t length, int flags) {
    static ssize_t (*next)(int, const void *, size_t, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "send");
    if (starts_with(data, length, getenv("FAULT_AT_RESPONSE_PREFIX"))) hold_up();
    hold_up_at_random();
    return next(descriptor, data, shortened(length), flags);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = read_clock(clock, now);
    if (clock == CLOCK_REALTIME && (now->tv_sec / WALL_STRETCH_S) % 2 == 1)
        now->tv_sec += number("FAULT_WALL_STEP_S");
    if (clock != CLOCK_MONOTONIC) return result;
    if (clock_reads_left > 0 && --clock_reads_left == 0) hold_up();
    hold_up_at_random();
    return result;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static int (*next)(int, const struct sockaddr *, socklen_t);
    if (next == NULL) next = dlsym(RTLD_NEXT, "connect");
    if (descriptor < MAX_DESCRIPTORS) is_opened_here[descriptor] = 1;
    int every = number("FAULT_CONNECT_EVERY");
    if (every == 0 || ++connect_count % every != 0) return next(descriptor, address, length);
    errno = CONNECT_ERRORS[connect_count / every % 3];
    return -1;
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
    if (every == 0 || ++accept_count % every != 0) {
        int accepted = next(listener, address, length, flags);
        if (accepted >= 0 && accepted < MAX_DESCRIPTORS) is_opened_here[accepted] = 0;
        return accepted;
    }
    int error = ACCEPT_ERRORS[accept_error_count++ % 3];
    if (error == ECONNABORTED) { /* the only one of these errors that removes the connection from the backlog */
        int aborted = next(listener, address, length, flags);
        if (aborted < 0) return aborted;
        struct linger reset = {1, 0};
        setsockopt(aborted, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(aborted);
    }
    errno = error;
    return -1;
}
