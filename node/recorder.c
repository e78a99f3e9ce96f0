#include <stdlib.h>

#include <apr_strings.h>

#include "node/recorder.h"

struct bf_recorder {
	FILE *stream; /* writes to text */
	char *text;
	size_t text_bytes;
	uint32_t event_count;
	uint32_t events_max;
};

bf_recorder_t *
bf_recorder_new(uint32_t events_max)
{
	bf_recorder_t *recorder;

	if (events_max == 0)
		return NULL;
	recorder = calloc(1, sizeof(*recorder));
	if (recorder == NULL)
		return NULL;
	recorder->events_max = events_max;
	recorder->stream =
	    open_memstream(&recorder->text, &recorder->text_bytes);
	if (recorder->stream == NULL) {
		free(recorder);
		return NULL;
	}
	return recorder;
}

void
bf_recorder_free(bf_recorder_t *recorder)
{
	if (recorder == NULL)
		return;
	fclose(recorder->stream);
	free(recorder->text);
	free(recorder);
}

FILE *
bf_recorder_begin_event(bf_recorder_t *recorder)
{
	if (recorder == NULL || recorder->event_count == recorder->events_max)
		return NULL;
	recorder->event_count++;
	return recorder->stream;
}

const char *
bf_recorder_text(bf_recorder_t *recorder, apr_pool_t *pool)
{
	if (recorder == NULL || fflush(recorder->stream) != 0)
		return "";
	return apr_pstrmemdup(pool, recorder->text, recorder->text_bytes);
}
