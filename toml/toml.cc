#include <cstring>
#include <ctime>
#include <exception>
#include <string>
#include <string_view>

#include <apr_strings.h>

#include "toml/node.h"

#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#define TOML_MAX_NESTED_VALUES BF_TOML_NESTED_MAX
#include <toml++/toml.h>

/*
 * The only C++ of the project: toml++ parses, and its tree is copied at once
 * into nodes of an APR pool.  Exceptions end in bf_toml_convert().
 */

namespace
{

constexpr int MONTHS_BASE = 1;
constexpr int YEARS_BASE = 1900;
constexpr int NS_PER_US = 1000;
constexpr int S_PER_MINUTE = 60;

/* Text that C could not hold. */
struct nul_in_text {
	toml::source_region place;
};

struct context_t {
	apr_pool_t *pool;
	const char *file;
};

const char *
copy_text(const context_t &context, std::string_view text,
    const toml::source_region &place)
{
	if (text.find('\0') != std::string_view::npos)
		throw nul_in_text{ place };
	return apr_pstrmemdup(context.pool, text.data(), text.size());
}

bf_time_us_t
to_utc_us(const toml::date_time &when)
{
	struct tm tm = {};

	tm.tm_year = when.date.year - YEARS_BASE;
	tm.tm_mon = when.date.month - MONTHS_BASE;
	tm.tm_mday = when.date.day;
	tm.tm_hour = when.time.hour;
	tm.tm_min = when.time.minute;
	tm.tm_sec = when.time.second;
	return (timegm(&tm) - when.offset->minutes * S_PER_MINUTE) *
	    BF_US_PER_S +
	    when.time.nanosecond / NS_PER_US;
}

bf_toml_node_t *convert(const context_t &context, const toml::node &from);

bf_toml_node_t *
new_node(const context_t &context, const toml::source_region &place)
{
	auto *node = static_cast<bf_toml_node_t *>(
	    apr_pcalloc(context.pool, sizeof(bf_toml_node_t)));

	node->pool = context.pool;
	node->file = context.file;
	node->key = "";
	node->line = place.begin.line;
	node->column = place.begin.column;
	return node;
}

void
convert_table(
    const context_t &context, const toml::table &from, bf_toml_node_t *node)
{
	node->type = BF_TOML_TABLE;
	for (auto &&[key, value] : from) {
		bf_toml_node_t *child = convert(context, value);

		child->key = copy_text(context, key.str(), key.source());
		child->line = key.source().begin.line;
		child->column = key.source().begin.column;
		bf_toml_append(node, child);
	}
}

void
convert_array(
    const context_t &context, const toml::array &from, bf_toml_node_t *node)
{
	node->type = BF_TOML_ARRAY;
	for (auto &&element : from)
		bf_toml_append(node, convert(context, element));
}

void
convert_date_time(const toml::date_time &from, bf_toml_node_t *node)
{
	if (from.is_local()) {
		node->type = BF_TOML_LOCAL_TIME;
		return;
	}
	node->type = BF_TOML_TIME;
	node->value.time_us = to_utc_us(from);
}

bf_toml_node_t *
convert(const context_t &context, const toml::node &from)
{
	bf_toml_node_t *node = new_node(context, from.source());

	if (auto *table = from.as_table()) {
		convert_table(context, *table, node);
	} else if (auto *array = from.as_array()) {
		convert_array(context, *array, node);
	} else if (auto *text = from.as_string()) {
		node->type = BF_TOML_STRING;
		node->value.text =
		    copy_text(context, text->get(), from.source());
	} else if (auto *integer = from.as_integer()) {
		node->type = BF_TOML_INTEGER;
		node->value.integer = integer->get();
	} else if (auto *real = from.as_floating_point()) {
		node->type = BF_TOML_FLOAT;
		node->value.real = real->get();
	} else if (auto *truth = from.as_boolean()) {
		node->type = BF_TOML_BOOLEAN;
		node->value.truth = truth->get();
	} else if (auto *when = from.as_date_time()) {
		convert_date_time(when->get(), node);
	} else {
		node->type = BF_TOML_LOCAL_TIME;
	}
	return node;
}

bf_code_t
add_problem(const context_t &context, bf_problems_t *problems, bf_code_t code,
    const toml::source_region &place, const char *message)
{
	bf_problem_t problem = {};

	problem.code = code;
	problem.file = context.file;
	problem.line = place.begin.line;
	problem.column = place.begin.column;
	problem.message = message;
	return bf_problems_add(problems, &problem);
}

} // namespace

bf_code_t
bf_toml_convert(const char *text, size_t text_bytes, const char *file,
    apr_pool_t *pool, bf_toml_node_t **root, bf_problems_t *problems)
{
	const context_t context = { pool, apr_pstrdup(pool, file) };

	try {
		const toml::table table =
		    toml::parse(std::string_view(text, text_bytes));

		*root = convert(context, table);
		return BF_OK;
	} catch (const toml::parse_error &e) {
		return add_problem(context, problems, BF_ERR_PARSE, e.source(),
		    e.description().data());
	} catch (const nul_in_text &e) {
		return add_problem(context, problems, BF_ERR_PARSE, e.place,
		    "text with a NUL character");
	} catch (const std::exception &e) {
		return add_problem(
		    context, problems, BF_ERR_MEMORY, {}, e.what());
	}
}
