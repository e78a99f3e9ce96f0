#ifndef BF_STANDINS_LEDGER_H
#define BF_STANDINS_LEDGER_H

#include <stdint.h>

/*
 * The requests that a target has run, by X-Request-Id.  A run counts as soon as
 * the request's head is admitted, because a back end may act on the first byte.
 * Thread-safe.
 */

typedef struct ledger ledger_t;

ledger_t *ledger_new(void);

/* Records one more run of the request. */
void ledger_start(
    ledger_t *ledger, const char *id, const char *method, const char *path);

/* Records that the response of a run was sent completely. */
void ledger_finish(ledger_t *ledger, const char *id);

/*
 * Lines of "id runs finished method path", ordered by the first run of each id;
 * free it with g_free.
 */
char *ledger_text(ledger_t *ledger);

#endif
