#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "ctl/client.h"

#define URL_BYTES 512
#define HEADER_BYTES 512
/* Longest response body: enough for a list of some thousand members. */
#define RESPONSE_BYTES_MAX ((size_t)4 * 1024 * 1024)

#define STATUS_OK 200
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404

struct bf_admin_client {
	CURL *curl;
	struct curl_slist *headers;
};

typedef struct response {
	char *data;
	size_t data_bytes;
} response_t;

bf_admin_client_t *
bf_admin_client_new(const char *token, uint32_t timeout_ms)
{
	char header[HEADER_BYTES];
	bf_admin_client_t *client;

	client = calloc(1, sizeof(*client));
	if (client == NULL)
		return NULL;
	client->curl = curl_easy_init();
	if (client->curl == NULL) {
		free(client);
		return NULL;
	}
	if (token != NULL) {
		snprintf(
		    header, sizeof(header), "Authorization: Bearer %s", token);
		client->headers = curl_slist_append(NULL, header);
	}
	curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
	curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(client->curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(client->curl, CURLOPT_PROTOCOLS_STR, "http");
	return client;
}

void
bf_admin_client_free(bf_admin_client_t *client)
{
	if (client == NULL)
		return;
	curl_slist_free_all(client->headers);
	curl_easy_cleanup(client->curl);
	free(client);
}

static size_t
append_response(char *data, size_t size, size_t count, void *ctx)
{
	response_t *response = ctx;
	char *grown;

	(void)size;
	if (response->data_bytes + count > RESPONSE_BYTES_MAX)
		return 0;
	grown = realloc(response->data, response->data_bytes + count);
	if (grown == NULL)
		return 0;
	memcpy(grown + response->data_bytes, data, count);
	response->data = grown;
	response->data_bytes += count;
	return count;
}

static bf_code_t
check_status(long status, const char *address, bf_error_t *err)
{
	switch (status) {
	case STATUS_OK:
		return BF_OK;
	case STATUS_UNAUTHORIZED:
		return bf_error_set(
		    err, BF_ERR_DENIED, "%s rejected the token", address);
	case STATUS_NOT_FOUND:
		return bf_error_set(
		    err, BF_ERR_NOT_FOUND, "%s has no such resource", address);
	default:
		return bf_error_set(err, BF_ERR_UNAVAILABLE,
		    "%s responded with status %ld", address, status);
	}
}

bf_code_t
bf_admin_client_get(bf_admin_client_t *client, const char *address,
    const char *path, json_t **out, bf_error_t *err)
{
	response_t response = { 0 };
	char url[URL_BYTES];
	json_error_t parse_error;
	CURLcode result;
	bf_code_t code;
	long status;

	*out = NULL;
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(client->curl, CURLOPT_URL, url);
	curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, &response);
	result = curl_easy_perform(client->curl);
	if (result != CURLE_OK) {
		free(response.data);
		return bf_error_set(err, BF_ERR_UNAVAILABLE, "%s: %s", address,
		    curl_easy_strerror(result));
	}
	curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, &status);
	code = check_status(status, address, err);
	if (code == BF_OK) {
		*out = json_loadb(response.data != NULL ? response.data : "",
		    response.data_bytes, 0, &parse_error);
		if (*out == NULL)
			code = bf_error_set(err, BF_ERR_PARSE, "%s: %s",
			    address, parse_error.text);
	}
	free(response.data);
	return code;
}
