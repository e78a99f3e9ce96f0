#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/message.h"

#define HEAD_BYTES_DEFAULT 65536
#define BODY_BYTES_DEFAULT (UINT64_C(64) << 20)
/* A server that sends more before a final response may never send one. */
#define INTERIM_RESPONSES_MAX 16
/* Of the final response; a greater one has no meaning (RFC 9110, 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599

bf_http_message_t *
bf_http_message_new(void)
{
	return calloc(1, sizeof(bf_http_message_t));
}

void
bf_http_message_free(bf_http_message_t *message)
{
	if (message == NULL)
		return;
	if (message->holders > 0) {
		message->holders--;
		return;
	}
	bf_bytes_free(&message->text);
	bf_bytes_free(&message->body);
	bf_memory_charge_set(&message->charge, 0);
	free(message);
}

bf_http_message_t *
bf_http_message_hold(bf_http_message_t *message)
{
	message->holders++;
	return message;
}

static const char *
text_at(const bf_http_message_t *message, uint32_t offset)
{
	if (offset >= bf_bytes_count(&message->text))
		return "";
	return (const char *)bf_bytes_data(&message->text) + offset;
}

const char *
bf_http_target(const bf_http_message_t *message)
{
	return text_at(message, 0);
}

const char *
bf_http_name(const bf_http_message_t *message, uint32_t field)
{
	return text_at(message, message->fields[field].name);
}

const char *
bf_http_value(const bf_http_message_t *message, uint32_t field)
{
	return text_at(message, message->fields[field].value);
}

const char *
bf_http_find(const bf_http_message_t *message, const char *name)
{
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		if (strcasecmp(bf_http_name(message, i), name) == 0)
			return bf_http_value(message, i);
	}
	return NULL;
}

uint64_t
bf_http_number(const char *text, uint64_t default_value)
{
	unsigned long long value;
	char *end;

	if (text == NULL || text[0] < '0' || text[0] > '9')
		return default_value;
	value = strtoull(text, &end, 10);
	return *end == '\0' ? (uint64_t)value : default_value;
}

/* Whether a comma-separated list contains the text. */
static bool
list_contains(const char *list, const char *text)
{
	size_t bytes = strlen(text), skip;

	while (*list != '\0') {
		skip = strspn(list, " \t,");
		list += skip;
		if (strncasecmp(list, text, bytes) == 0 &&
		    strchr(" \t,", list[bytes]) != NULL)
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

bool
bf_http_hop_by_hop(const bf_http_message_t *message, const char *name)
{
	static const char *const names[] = { "Connection", "Keep-Alive",
		"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect" };
	uint32_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	for (i = 0; i < message->field_count; i++) {
		if (strcasecmp(bf_http_name(message, i), "Connection") == 0 &&
		    list_contains(bf_http_value(message, i), name))
			return true;
	}
	return false;
}

void
bf_http_message_update_charge(bf_http_message_t *message)
{
	bf_memory_charge_set(&message->charge,
	    sizeof(*message) + bf_memory_of(&message->text) +
		bf_memory_of(&message->body));
}

static bf_http_reader_t *
reader_of(http_parser *parser)
{
	return parser->data;
}

static int
fail(bf_http_reader_t *reader, bf_http_fault_t fault)
{
	reader->fault = fault;
	return -1;
}

static int
on_message_begin(http_parser *parser)
{
	bf_http_reader_t *reader = reader_of(parser);

	bf_http_message_free(reader->message);
	reader->message = bf_http_message_new();
	reader->head_bytes = 0;
	reader->in_value = false;
	reader->in_trailers = false;
	if (reader->message == NULL)
		return fail(reader, BF_HTTP_NO_MEMORY);
	reader->message->charge.budget = reader->budget;
	reader->message->charge.side = reader->side;
	bf_http_message_update_charge(reader->message);
	return 0;
}

/* Counts bytes of the head, or of the trailer fields, against the limit. */
static int
count_text(bf_http_reader_t *reader, size_t bytes)
{
	reader->head_bytes += bytes;
	return reader->head_bytes > reader->head_bytes_max
	    ? fail(reader, BF_HTTP_HEAD_TOO_LARGE)
	    : 0;
}

static int
add_text(bf_http_reader_t *reader, const char *at, size_t bytes)
{
	if (count_text(reader, bytes) != 0)
		return -1;
	bf_bytes_add(&reader->message->text, at, bytes);
	bf_http_message_update_charge(reader->message);
	return reader->message->text.failed ? fail(reader, BF_HTTP_NO_MEMORY)
					    : 0;
}

/*
 * Ends the part of the head that was read last.  Space behind a field's value
 * is not part of it (RFC 9110, 5.5).
 */
static int
terminate_part(bf_http_reader_t *reader)
{
	bf_http_message_t *message = reader->message;
	const char *text = (const char *)bf_bytes_data(&message->text);
	size_t end = bf_bytes_count(&message->text), begin = end;

	if (reader->in_value)
		begin = message->fields[message->field_count - 1].value;
	while (end > begin && (text[end - 1] == ' ' || text[end - 1] == '\t'))
		end--;
	bf_bytes_truncate(&message->text, end);
	return add_text(reader, "", 1);
}

static int
on_url(http_parser *parser, const char *at, size_t bytes)
{
	return add_text(reader_of(parser), at, bytes);
}

static int
on_field(http_parser *parser, const char *at, size_t bytes)
{
	bf_http_reader_t *reader = reader_of(parser);
	bf_http_message_t *message = reader->message;

	if (reader->in_trailers)
		return count_text(reader, bytes);
	if (message->field_count == 0 || reader->in_value) {
		if (message->field_count == BF_HTTP_FIELDS_MAX)
			return fail(reader, BF_HTTP_HEAD_TOO_LARGE);
		if (terminate_part(reader) != 0)
			return -1;
		message->fields[message->field_count++].name =
		    (uint32_t)bf_bytes_count(&message->text);
		reader->in_value = false;
	}
	return add_text(reader, at, bytes);
}

static int
on_value(http_parser *parser, const char *at, size_t bytes)
{
	bf_http_reader_t *reader = reader_of(parser);
	bf_http_message_t *message = reader->message;

	if (reader->in_trailers)
		return count_text(reader, bytes);
	if (!reader->in_value) {
		if (terminate_part(reader) != 0)
			return -1;
		message->fields[message->field_count - 1].value =
		    (uint32_t)bf_bytes_count(&message->text);
		reader->in_value = true;
	}
	return add_text(reader, at, bytes);
}

/* Whether a field's name is a token (RFC 9110, 5.6.2). */
static bool
is_token(const char *name)
{
	return name[0] != '\0' &&
	    strspn(name,
		"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
		"ABCDEFGHIJKLMNOPQRSTUVWXYZ") == strlen(name);
}

/* The parser accepts spaces in names; the next recipient may skip them. */
static bool
names_are_tokens(const bf_http_message_t *message)
{
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		if (!is_token(bf_http_name(message, i)))
			return false;
	}
	return true;
}

static int
on_headers_complete(http_parser *parser)
{
	bf_http_reader_t *reader = reader_of(parser);
	bf_http_message_t *message = reader->message;

	if (terminate_part(reader) != 0)
		return -1;
	if (parser->type == HTTP_RESPONSE &&
	    (parser->status_code < STATUS_MIN ||
		parser->status_code > STATUS_MAX))
		return fail(reader, BF_HTTP_MALFORMED);
	if (!names_are_tokens(message) || parser->method == HTTP_CONNECT)
		return fail(reader, BF_HTTP_MALFORMED);
	/*
	 * A request's Upgrade field is ignored, as RFC 9110, 7.8 allows; the
	 * parser would read nothing after the request.
	 */
	if (parser->type == HTTP_REQUEST)
		parser->upgrade = 0;
	reader->in_trailers = true;
	reader->head_bytes = 0;
	message->method = parser->method;
	message->status = parser->status_code;
	message->keep_alive = http_should_keep_alive(parser) != 0;
	message->until_close = parser->type == HTTP_RESPONSE &&
	    (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
	if ((parser->flags & F_CONTENTLENGTH) != 0 &&
	    parser->content_length > reader->body_bytes_max)
		return fail(reader, BF_HTTP_BODY_TOO_LARGE);
	if (reader->vtable->head != NULL)
		reader->vtable->head(reader, message);
	return reader->response_to_head ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t bytes)
{
	bf_http_reader_t *reader = reader_of(parser);
	bf_bytes_t *body = &reader->message->body;

	if (bf_bytes_count(body) + bytes > reader->body_bytes_max)
		return fail(reader, BF_HTTP_BODY_TOO_LARGE);
	bf_bytes_add(body, at, bytes);
	bf_http_message_update_charge(reader->message);
	return body->failed ? fail(reader, BF_HTTP_NO_MEMORY) : 0;
}

static int
on_message_complete(http_parser *parser)
{
	bf_http_reader_t *reader = reader_of(parser);
	bf_http_message_t *message = reader->message;

	reader->message = NULL;
	if (parser->type == HTTP_RESPONSE && message->status < 200) {
		/* An interim response; the final one follows. */
		bf_http_message_free(message);
		reader->interim_count++;
		if (reader->interim_count > INTERIM_RESPONSES_MAX)
			return fail(reader, BF_HTTP_MALFORMED);
		/* The status line of the next one is checked first. */
		reader->after_interim = true;
		http_parser_pause(parser, 1);
		return 0;
	}
	if (reader->single_message)
		http_parser_pause(parser, 1);
	reader->vtable->message(reader, message);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void
bf_http_reader_init(bf_http_reader_t *reader,
    const bf_http_reader_vtable_t *vtable, bool requests)
{
	*reader = (bf_http_reader_t){
		.vtable = vtable,
		.head_bytes_max = HEAD_BYTES_DEFAULT,
		.body_bytes_max = BODY_BYTES_DEFAULT,
	};
	http_parser_init(
	    &reader->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
}

void
bf_http_reader_clear(bf_http_reader_t *reader)
{
	bf_http_message_free(reader->message);
	reader->message = NULL;
}

/*
 * Checks the start of a response's status line; the parser takes any version
 * and several spaces.  Empty lines in front are skipped.
 */
static bool
check_status_line(bf_http_reader_t *reader, const uint8_t *data, size_t bytes)
{
	static const char form[] = "HTTP/1.# ###";
	uint32_t at = reader->status_line_bytes;
	size_t i;

	for (i = 0; i < bytes && form[at] != '\0'; i++) {
		if (at == 0 && (data[i] == '\r' || data[i] == '\n'))
			continue;
		if (form[at] == '#' ? data[i] < '0' || data[i] > '9'
				    : data[i] != (uint8_t)form[at])
			return false;
		at++;
	}
	reader->status_line_bytes = at;
	return true;
}

/* Parses up to the end of the data or of an interim response. */
static size_t
execute(bf_http_reader_t *reader, const uint8_t *data, size_t bytes)
{
	if (reader->parser.type == HTTP_RESPONSE &&
	    !check_status_line(reader, data, bytes)) {
		(void)fail(reader, BF_HTTP_MALFORMED);
		return 0;
	}
	return http_parser_execute(
	    &reader->parser, &callbacks, (const char *)data, bytes);
}

bf_http_fault_t
bf_http_reader_feed(bf_http_reader_t *reader, const uint8_t *data, size_t bytes)
{
	enum http_errno code;
	size_t used;

	if (reader->fault != BF_HTTP_OK)
		return reader->fault;
	if (reader->paused) {
		reader->paused = false;
		http_parser_pause(&reader->parser, 0);
	}
	used = execute(reader, data, bytes);
	while (reader->fault == BF_HTTP_OK && reader->after_interim) {
		reader->after_interim = false;
		reader->status_line_bytes = 0;
		http_parser_pause(&reader->parser, 0);
		used += execute(reader, data + used, bytes - used);
	}
	reader->used_bytes = used;
	code = HTTP_PARSER_ERRNO(&reader->parser);
	if (code == HPE_PAUSED) {
		reader->has_trailing_bytes = used < bytes;
		return BF_HTTP_OK;
	}
	if (reader->fault == BF_HTTP_OK && reader->parser.upgrade)
		reader->fault = BF_HTTP_MALFORMED;
	if (reader->fault == BF_HTTP_OK && code != HPE_OK)
		reader->fault = code == HPE_HEADER_OVERFLOW
		    ? BF_HTTP_HEAD_TOO_LARGE
		    : BF_HTTP_MALFORMED;
	return reader->fault;
}

void
bf_http_reader_pause(bf_http_reader_t *reader)
{
	reader->paused = true;
	http_parser_pause(&reader->parser, 1);
}

void
bf_http_reader_finish(bf_http_reader_t *reader)
{
	if (reader->fault == BF_HTTP_OK &&
	    HTTP_PARSER_ERRNO(&reader->parser) == HPE_OK)
		(void)http_parser_execute(&reader->parser, &callbacks, NULL, 0);
}
