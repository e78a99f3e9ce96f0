#include <dirent.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

/*
 * Feeds every file of a folder to one fuzz target, so that a compiler without
 * libFuzzer, and CI, replay the committed corpus.  Exits with 1 when the
 * folder has no file; a finding ends the process.
 */

#define PATH_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes);

static int
replay_file(const char *path, size_t file_bytes)
{
	uint8_t *data;
	size_t n;
	FILE *f;

	f = fopen(path, "rb");
	if (f == NULL)
		return -1;
	/* Exactly as large as the input, so that a sanitizer sees its end. */
	data = malloc(file_bytes > 0 ? file_bytes : 1);
	if (data == NULL) {
		fclose(f);
		return -1;
	}
	n = fread(data, 1, file_bytes, f);
	fclose(f);
	if (n == file_bytes)
		LLVMFuzzerTestOneInput(data, n);
	free(data);
	return n == file_bytes ? 0 : -1;
}

int
main(int argc, char **argv)
{
	char path[PATH_BYTES];
	struct dirent *entry;
	struct stat status;
	size_t replayed;
	DIR *dir;

	if (argc != 2) {
		fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
		return 2;
	}
	dir = opendir(argv[1]);
	if (dir == NULL) {
		perror(argv[1]);
		return 1;
	}
	replayed = 0;
	while ((entry = readdir(dir)) != NULL) {
		snprintf(path, sizeof(path), "%s/%s", argv[1], entry->d_name);
		if (stat(path, &status) != 0 || !S_ISREG(status.st_mode))
			continue;
		if (replay_file(path, (size_t)status.st_size) != 0) {
			perror(path);
			closedir(dir);
			return 1;
		}
		replayed++;
	}
	closedir(dir);
	printf("%zu inputs replayed\n", replayed);
	return replayed > 0 ? 0 : 1;
}
