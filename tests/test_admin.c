#include <glib.h>
#include <string.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "admin/admin.h"

static bf_code_t
handle_echo(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	const char *fail;

	(void)ctx;
	fail = bf_admin_argument(request, "fail");
	if (fail != NULL)
		return bf_error_set(err, BF_ERR_CONFLICT, "%s", fail);
	reply->json =
	    json_pack("{s:I}", "bytes", (json_int_t)request->body_bytes);
	return BF_OK;
}

static const bf_admin_handler_t handlers[] = {
	{ "GET", "/open", BF_ROLE_ANYONE, handle_echo },
	{ "GET", "/read", BF_ROLE_READ, handle_echo },
	{ "PUT", "/apply", BF_ROLE_APPLY, handle_echo },
	{ "PUT", "/target", BF_ROLE_TARGET, handle_echo },
};

static long
request(uint16_t port, const char *method, const char *path, const char *token,
    size_t body_bytes)
{
	struct curl_slist *headers = NULL;
	char *url, *header, *body;
	long status;
	CURL *curl;

	curl = curl_easy_init();
	url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	body = g_strnfill(body_bytes, 'x');
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	if (body_bytes > 0) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)body_bytes);
	}
	if (token != NULL) {
		header = g_strdup_printf("Authorization: Bearer %s", token);
		headers = curl_slist_append(headers, header);
		g_free(header);
	}
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_NOBODY, 0L);
	g_assert_cmpint(curl_easy_perform(curl), ==, CURLE_OK);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	g_free(url);
	g_free(body);
	return status;
}

static void
test_roles_and_limits(void)
{
	static const struct {
		const char *method, *path, *token;
		size_t body_bytes;
		long status;
	} cases[] = {
		{ "GET", "/open", NULL, 0, 200 },
		{ "GET", "/open?fail=x", NULL, 0, 409 },
		{ "GET", "/missing", "r", 0, 404 },
		{ "PUT", "/open", "a", 0, 404 },
		{ "GET", "/read", NULL, 0, 401 },
		{ "GET", "/read", "r", 0, 200 },
		{ "GET", "/read", "a", 0, 200 },
		{ "GET", "/read", "wrong", 0, 401 },
		{ "GET", "/read", "", 0, 401 },
		{ "PUT", "/apply", "r", 1, 401 },
		{ "PUT", "/apply", "a", 1, 200 },
		{ "PUT", "/apply", "a", BF_ADMIN_BODY_BYTES_MAX, 200 },
		{ "PUT", "/apply", "a", BF_ADMIN_BODY_BYTES_MAX + 1, 413 },
		{ "PUT", "/target", "", 1, 401 },
		{ "PUT", "/target", "a", 1, 401 },
	};
	bf_counters_t *counters;
	bf_admin_t *admin;
	bf_error_t err;
	size_t i;

	counters = bf_counters_new();
	g_assert_cmpint(bf_admin_new(
			    &(bf_admin_options_t){
				.listen = "127.0.0.1:0",
				.read_token = "r",
				.apply_token = "a",
				.handlers = handlers,
				.handler_count = G_N_ELEMENTS(handlers),
				.counters = counters,
			    },
			    &admin, &err),
	    ==, BF_OK);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
		    request(bf_admin_port(admin), cases[i].method,
			cases[i].path, cases[i].token, cases[i].body_bytes),
		    ==, cases[i].status);
	g_assert_cmpuint(
	    bf_counters_sum(counters,
		bf_counters_register(counters, "bf_admin_denied_total")),
	    ==, 6);
	bf_admin_free(admin);
	bf_counters_free(counters);
}

static void
test_invalid_address_is_rejected(void)
{
	bf_counters_t *counters;
	bf_admin_t *admin;

	counters = bf_counters_new();
	g_assert_cmpint(
	    bf_admin_new(&(bf_admin_options_t){ .listen = "nonsense:80",
			     .counters = counters },
		&admin, NULL),
	    ==, BF_ERR_ARGUMENT);
	bf_counters_free(counters);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_ALL);
	g_test_add_func("/admin/roles", test_roles_and_limits);
	g_test_add_func("/admin/address", test_invalid_address_is_rejected);
	return g_test_run();
}
