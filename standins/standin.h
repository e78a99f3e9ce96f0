#ifndef BF_STANDINS_STANDIN_H
#define BF_STANDINS_STANDIN_H

#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#include <microhttpd.h>

/* Helpers shared by the HTTP stand-ins. */

/* Parses an unsigned decimal number; exits with a message if it is invalid. */
uint32_t standin_parse_number(const char *text, const char *what);

/* Flags of libmicrohttpd for one thread per connection: handlers may block. */
#define STANDIN_THREADS                                                    \
	(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | \
	    MHD_USE_POLL)

/*
 * Starts an HTTP server with flags of libmicrohttpd and prints the line
 * "listening IP:port" to standard output.  Exits on failure.
 */
struct MHD_Daemon *standin_listen(const char *address, unsigned int flags,
    MHD_AccessHandlerCallback handler, MHD_RequestCompletedCallback completed,
    void *ctx);

/* "IP:port" with the bound port, also if address has port 0; free by g_free. */
char *standin_listen_address(struct MHD_Daemon *daemon, const char *address);

/* Blocks SIGTERM and SIGINT in this thread and those created later. */
void standin_block_signals(void);

/* Waits up to wait_ms for SIGTERM or SIGINT; true if one was received. */
bool standin_stop_requested(uint32_t wait_ms);

/* The value of a query parameter, or NULL. */
const char *standin_argument(
    struct MHD_Connection *connection, const char *name);

/* True also for a parameter without a value. */
bool standin_has_argument(struct MHD_Connection *connection, const char *name);

/* Parses a query parameter; false, *value unchanged, if absent or invalid. */
bool standin_argument_number(
    struct MHD_Connection *connection, const char *name, uint32_t *value);

/* Queues a response with a copy of body. */
enum MHD_Result standin_respond(
    struct MHD_Connection *connection, unsigned int status, const char *body);

#endif
