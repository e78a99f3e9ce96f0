#ifndef BF_BASE_ERROR_H
#define BF_BASE_ERROR_H

#include <stddef.h>

/*
 * Error codes and messages.  Every function that can fail returns a bf_code_t
 * and, if the caller passes a bf_error_t, stores the code and a human-readable
 * message in it.  Programs must depend on the code only, not on the message.
 */

typedef enum bf_code {
	BF_OK = 0,
	BF_ERR_ARGUMENT,    /* the caller's argument is out of range */
	BF_ERR_MEMORY,      /* an allocation failed */
	BF_ERR_IO,          /* a file or socket operation failed */
	BF_ERR_PARSE,       /* a file or message is malformed */
	BF_ERR_TYPE,        /* a value has the wrong type */
	BF_ERR_UNKNOWN_KEY, /* a key that is not in the schema */
	BF_ERR_RANGE,       /* a value lies outside its bounds */
	BF_ERR_REFERENCE,   /* a name that refers to nothing */
	BF_ERR_TOO_LARGE,   /* larger than a limit */
	BF_ERR_DIGEST,      /* content does not match its digest */
	BF_ERR_STALE,       /* older than the version already applied */
	BF_ERR_BASE,        /* a delta for another base version */
	BF_ERR_NOT_FOUND,   /* the requested object does not exist */
	BF_ERR_CONFLICT,    /* a compare-and-swap found another value */
	BF_ERR_TIMEOUT,     /* no answer within the time allowed */
	BF_ERR_UNAVAILABLE, /* the peer cannot be reached */
	BF_ERR_DENIED,      /* the peer rejected the credentials */
	BF_ERR_LIMIT,       /* a rate or concurrency limit was reached */
	BF_ERR_UNSETTLED,   /* the request may or may not have taken effect */
	BF_ERR_CLOSED,      /* the object is shutting down */
	BF_ERR_INTERNAL,    /* an invariant does not hold */
	BF_CODE_COUNT
} bf_code_t;

#define BF_ERROR_MESSAGE_BYTES 512

typedef struct bf_error {
	bf_code_t code;
	char message[BF_ERROR_MESSAGE_BYTES];
} bf_error_t;

/*
 * Records a failure in err, which may be NULL, and returns code so that a
 * caller can write `return bf_error_set(...)`.  Long messages are truncated.
 */
bf_code_t bf_error_set(bf_error_t *err, bf_code_t code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* The stable lower-case name of a code, such as "not-found". */
const char *bf_code_name(bf_code_t code);

#endif
