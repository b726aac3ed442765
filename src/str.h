/* Length-counted strings, growable buffers and aborting allocation. */
#ifndef DAISYPIER_STR_H
#define DAISYPIER_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A view of bytes that somebody else owns; not terminated by NUL. */
typedef struct str_t {
	const char *data;
	size_t len;
} str_t;

/* A growable byte buffer; data is NUL-terminated whenever len > 0. */
typedef struct buf_t {
	char *data;
	size_t len;
	size_t cap;
} buf_t;

#define STR(literal) ((str_t){.data = (literal), .len = sizeof(literal) - 1})
#define STR_FMT	     "%.*s"
#define STR_ARG(s)   (int)(s).len, (s).data

void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *ptr, size_t size);
char *xstrdup(const char *s);
void *xmemdup(const void *data, size_t len);

str_t str_of(const char *s);
str_t str_buf(const buf_t *buf);
bool str_equal(str_t a, str_t b);
bool str_equal_nocase(str_t a, str_t b);
int str_compare(str_t a, str_t b);
bool str_has_prefix(str_t s, str_t prefix);
bool str_split(str_t *rest, char separator, str_t *part);
str_t str_trim(str_t s);
char *str_dup(str_t s);
void str_copy(char *dst, size_t size, str_t s);
uint64_t str_hash(str_t s, uint64_t seed);
int str_to_u64(str_t s, uint64_t *out);

void buf_reserve(buf_t *buf, size_t extra);
void buf_append(buf_t *buf, str_t s);
void buf_append_char(buf_t *buf, char c);
void buf_printf(buf_t *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void buf_consume(buf_t *buf, size_t n);
void buf_clear(buf_t *buf);
void buf_free(buf_t *buf);

#endif
