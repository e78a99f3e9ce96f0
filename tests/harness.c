#include <fcntl.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib/gstdio.h>

#include "tests/harness.h"

#define POLL_INTERVAL_US 5000
#define REQUEST_TIMEOUT_MS 60000L

#define PROCESSES_MAX 1024

extern char **environ;

/* Processes to kill when the test fails; read by a signal handler. */
static volatile pid_t running[PROCESSES_MAX];

static void
kill_running(int signal_number)
{
	size_t i;

	for (i = 0; i < PROCESSES_MAX; i++) {
		if (running[i] != 0)
			kill(running[i], SIGKILL);
	}
	signal(signal_number, SIG_DFL);
	raise(signal_number);
}

static void
replace_running(pid_t old, pid_t new)
{
	size_t i;

	for (i = 0; i < PROCESSES_MAX; i++) {
		if (running[i] == old) {
			running[i] = new;
			return;
		}
	}
	g_error("more than %d processes", PROCESSES_MAX);
}

struct harness {
	char *folder;
	GPtrArray *processes;
	GStringChunk *texts;
};

harness_t *
harness_new(void)
{
	static const int fatal_signals[] = { SIGABRT, SIGTERM, SIGTRAP, SIGSEGV,
		SIGINT };
	harness_t *h;
	size_t i;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (i = 0; i < G_N_ELEMENTS(fatal_signals); i++)
		signal(fatal_signals[i], kill_running);
	h = g_new0(harness_t, 1);
	h->folder = g_dir_make_tmp("basilfork-XXXXXX", NULL);
	g_assert_nonnull(h->folder);
	h->processes = g_ptr_array_new();
	h->texts = g_string_chunk_new(256);
	return h;
}

static void
remove_folder(const char *folder)
{
	const char *name;
	GDir *dir;

	dir = g_dir_open(folder, 0, NULL);
	if (dir == NULL)
		return;
	while ((name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		if (g_file_test(path, G_FILE_TEST_IS_DIR))
			remove_folder(path);
		else
			g_unlink(path);
	}
	g_dir_close(dir);
	g_rmdir(folder);
}

void
harness_free(harness_t *h)
{
	harness_process_t *process;
	guint i;

	for (i = 0; i < h->processes->len; i++) {
		process = h->processes->pdata[i];
		if (process->pid != 0)
			harness_stop(process, SIGKILL);
		g_free(process->name);
		g_free(process->address);
		g_free(process);
	}
	g_ptr_array_free(h->processes, TRUE);
	if (g_getenv("BF_KEEP") != NULL)
		g_test_message("test files are kept in %s", h->folder);
	else
		remove_folder(h->folder);
	g_string_chunk_free(h->texts);
	g_free(h->folder);
	g_free(h);
}

const char *
harness_path(harness_t *h, const char *name)
{
	g_autofree char *path = g_build_filename(h->folder, name, NULL);

	return g_string_chunk_insert_const(h->texts, path);
}

const char *
harness_ip(harness_t *h, unsigned int n)
{
	char text[32];

	/* Tests that run at the same time have different process ids. */
	snprintf(text, sizeof(text), "127.%d.%d.%u",
	    10 + (int)(getpid() / 60 % 240),
	    (int)(getpid() % 60) * 4 + (int)(n / 250), 1 + n % 250);
	return g_string_chunk_insert_const(h->texts, text);
}

static int
open_log(harness_t *h, const char *name, const char *suffix)
{
	g_autofree char *file = g_strconcat(name, suffix, NULL);
	int fd;

	fd = open(harness_path(h, file),
	    O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
	g_assert_cmpint(fd, >=, 0);
	return fd;
}

static harness_process_t *
spawn(harness_t *h, const char *name, const char *program, va_list arguments)
{
	g_autofree char *path = NULL;
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	posix_spawn_file_actions_t actions;
	harness_process_t *process;
	char *argument;
	int out, err;

	path = g_build_filename(g_getenv("BF_BIN"), program, NULL);
	g_ptr_array_add(argv, path);
	while ((argument = va_arg(arguments, char *)) != NULL)
		g_ptr_array_add(argv, argument);
	g_ptr_array_add(argv, NULL);
	process = g_new0(harness_process_t, 1);
	process->name = g_strdup(name);
	out = open_log(h, name, ".out");
	err = open_log(h, name, ".err");
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, out, STDOUT_FILENO);
	posix_spawn_file_actions_adddup2(&actions, err, STDERR_FILENO);
	g_assert_cmpint(posix_spawn(&process->pid, path, &actions, NULL,
			    (char **)argv->pdata, environ),
	    ==, 0);
	posix_spawn_file_actions_destroy(&actions);
	close(out);
	close(err);
	replace_running(0, process->pid);
	g_ptr_array_add(h->processes, process);
	return process;
}

harness_process_t *
harness_start(harness_t *h, const char *name, const char *program, ...)
{
	harness_process_t *process;
	va_list arguments;

	va_start(arguments, program);
	process = spawn(h, name, program, arguments);
	va_end(arguments);
	return process;
}

/* Returns the address of the last complete "listening" line, or NULL. */
static char *
read_listening(harness_t *h, const char *name)
{
	g_autofree char *file = g_strconcat(name, ".out", NULL);
	g_autofree char *text = NULL;
	char *end, *line;

	if (!g_file_get_contents(harness_path(h, file), &text, NULL, NULL))
		return NULL;
	line = g_strrstr(text, "listening ");
	end = line != NULL ? strchr(line, '\n') : NULL;
	if (end == NULL)
		return NULL;
	line += strlen("listening ");
	return g_strndup(line, (gsize)(end - line));
}

harness_process_t *
harness_start_listening(
    harness_t *h, const char *name, const char *program, ...)
{
	harness_process_t *process;
	va_list arguments;
	gint64 until_us;

	va_start(arguments, program);
	process = spawn(h, name, program, arguments);
	va_end(arguments);
	until_us = g_get_monotonic_time() + HARNESS_WAIT_MAX_MS * 1000LL;
	while ((process->address = read_listening(h, name)) == NULL) {
		if (harness_has_ended(process))
			g_error(
			    "%s ended before it printed its listening address",
			    name);
		if (g_get_monotonic_time() > until_us)
			g_error(
			    "%s did not print its listening address in time",
			    name);
		g_usleep(POLL_INTERVAL_US);
	}
	return process;
}

void
harness_signal(harness_process_t *process, int signal_number)
{
	g_assert_cmpint(process->pid, >, 0);
	g_assert_cmpint(kill(process->pid, signal_number), ==, 0);
}

int
harness_wait(harness_process_t *process)
{
	if (process->pid != 0) {
		g_assert_cmpint(waitpid(process->pid, &process->status, 0), ==,
		    process->pid);
		replace_running(process->pid, 0);
		process->pid = 0;
	}
	return WIFEXITED(process->status) ? WEXITSTATUS(process->status) : -1;
}

int
harness_stop(harness_process_t *process, int signal_number)
{
	if (process->pid != 0)
		harness_signal(process, signal_number);
	return harness_wait(process);
}

bool
harness_has_ended(harness_process_t *process)
{
	if (process->pid != 0 &&
	    waitpid(process->pid, &process->status, WNOHANG) == process->pid) {
		replace_running(process->pid, 0);
		process->pid = 0;
	}
	return process->pid == 0;
}

void
harness_wait_until(bool (*check)(void *ctx), void *ctx, const char *condition)
{
	gint64 until_us;

	until_us = g_get_monotonic_time() + HARNESS_WAIT_MAX_MS * 1000LL;
	while (!check(ctx)) {
		if (g_get_monotonic_time() > until_us)
			g_error("timed out waiting until %s", condition);
		g_usleep(POLL_INTERVAL_US);
	}
}

static size_t
append_body(char *data, size_t size, size_t count, void *ctx)
{
	g_byte_array_append(ctx, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

static size_t
append_header(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

harness_answer_t *
harness_http(const char *method, const char *url, const char *const *headers,
    const void *body, size_t body_bytes)
{
	struct curl_slist *list;
	harness_answer_t *answer;
	CURLcode result;
	CURL *curl;

	answer = g_new0(harness_answer_t, 1);
	answer->headers = g_string_new(NULL);
	answer->body = g_byte_array_new();
	list = curl_slist_append(NULL, "Expect:");
	for (; headers != NULL && *headers != NULL; headers++)
		list = curl_slist_append(list, *headers);
	curl = curl_easy_init();
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer->body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, append_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, answer->headers);
	if (body != NULL) {
		curl_easy_setopt(
		    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body_bytes);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	result = curl_easy_perform(curl);
	answer->curl_error =
	    result != CURLE_OK ? curl_easy_strerror(result) : "";
	answer->connect_failed = result == CURLE_COULDNT_CONNECT;
	if (result == CURLE_OK)
		curl_easy_getinfo(
		    curl, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(list);
	return answer;
}

void
harness_answer_free(harness_answer_t *answer)
{
	g_string_free(answer->headers, TRUE);
	g_byte_array_free(answer->body, TRUE);
	g_free(answer);
}

char *
harness_answer_header(const harness_answer_t *answer, const char *name)
{
	g_auto(GStrv) lines = g_strsplit(answer->headers->str, "\r\n", 0);
	size_t name_bytes;
	char **line;

	name_bytes = strlen(name);
	for (line = lines; *line != NULL; line++) {
		if (g_ascii_strncasecmp(*line, name, name_bytes) == 0 &&
		    (*line)[name_bytes] == ':')
			return g_strdup(g_strstrip(*line + name_bytes + 1));
	}
	return NULL;
}

char *
harness_answer_text(const harness_answer_t *answer)
{
	if (answer->body->len == 0)
		return g_strdup("");
	return g_strndup((const char *)answer->body->data, answer->body->len);
}

char *
harness_request(const char *method, const char *fmt, ...)
{
	g_autoptr(harness_answer_t) answer = NULL;
	g_autofree char *url = NULL;
	va_list arguments;

	va_start(arguments, fmt);
	url = g_strdup_vprintf(fmt, arguments);
	va_end(arguments);
	answer = harness_http(
	    method, url, NULL, strcmp(method, "GET") == 0 ? NULL : "", 0);
	if (answer->status != 200)
		g_error("%s %s: status %ld", method, url, answer->status);
	return harness_answer_text(answer);
}
