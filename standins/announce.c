#include <stdlib.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "standins/announce.h"

#define TIMEOUT_MS 2000L
#define HTTP_OK 200

static size_t
discard_response(char *data, size_t size, size_t count, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * count;
}

static char *
make_body(const announcement_t *a, bool draining)
{
	json_t *json;
	char *text;

	json = json_pack("{s:s s:s s:s s:I s:I s:s}", "service", a->service,
	    "version", a->version, "address", a->address, "slots",
	    (json_int_t)a->slots, "incarnation", (json_int_t)a->incarnation,
	    "state", draining ? "draining" : "ready");
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

static struct curl_slist *
make_headers(const announcement_t *a)
{
	g_autofree char *authorization = NULL;
	struct curl_slist *headers;

	headers = curl_slist_append(NULL, "Content-Type: application/json");
	if (a->token == NULL)
		return headers;
	authorization = g_strdup_printf("Authorization: Bearer %s", a->token);
	return curl_slist_append(headers, authorization);
}

bool
announce(const announcement_t *a, bool draining)
{
	g_autofree char *url = NULL;
	struct curl_slist *headers;
	long status;
	char *body;
	CURL *curl;

	if (a->node_admin == NULL)
		return true;
	url = g_strdup_printf("http://%s/v1/target", a->node_admin);
	headers = make_headers(a);
	body = make_body(a, draining);
	status = 0;
	curl = curl_easy_init();
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_response);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	free(body);
	return status == HTTP_OK;
}
