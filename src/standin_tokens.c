/* The answer of every stand-in engine to a prompt, token by token. */
#include "standin_tokens.h"

#include <stdio.h>
#include <string.h>

/* A prompt that contains this and a number ends after that many tokens. */
#define STOP_MARK "stop="
/* A prompt that contains this can never be answered. */
#define REFUSED_MARK "impossible"

/*
 * Writes token number index of a prompt's answer to buf, which holds
 * STANDIN_TOKEN_SIZE bytes. Returns a view of it.
 */
str_t
standin_token(str_t prompt, unsigned index, char *buf)
{
	uint64_t hash = str_hash(prompt, (uint64_t)index + 1);
	int len = snprintf(buf, STANDIN_TOKEN_SIZE, " t%06llx",
	    (unsigned long long)(hash & 0xffffff));

	return ((str_t){.data = buf, .len = (size_t)len});
}

/*
 * Returns how many tokens the whole answer has: max_tokens (finish reason
 * "length"), or fewer when the prompt says so (finish reason "stop").
 */
unsigned
standin_answer_tokens(str_t prompt, unsigned max_tokens)
{
	const char *mark = prompt.len > 0 ? memmem(prompt.data, prompt.len,
						STOP_MARK, strlen(STOP_MARK))
					  : NULL;
	unsigned count = 0;

	if (mark == NULL)
		return (max_tokens);
	mark += strlen(STOP_MARK);
	while (mark < prompt.data + prompt.len && *mark >= '0' &&
	       *mark <= '9' && count < max_tokens)
		count = count * 10 + (unsigned)(*mark++ - '0');
	return (count < max_tokens ? count : max_tokens);
}

/* Appends the whole answer to a prompt. */
void
standin_answer(str_t prompt, unsigned max_tokens, buf_t *out)
{
	unsigned count = standin_answer_tokens(prompt, max_tokens);
	char token[STANDIN_TOKEN_SIZE];

	for (unsigned i = 0; i < count; i++)
		buf_append(out, standin_token(prompt, i, token));
}

/* Returns whether every engine refuses the prompt for good. */
bool
standin_prompt_refused(str_t prompt)
{
	return (prompt.len > 0 && memmem(prompt.data, prompt.len, REFUSED_MARK,
				      strlen(REFUSED_MARK)) != NULL);
}

/*
 * Writes the prompt's key in the execution counts to buf, which holds
 * STANDIN_PROMPT_KEY_SIZE bytes. Returns buf.
 */
const char *
standin_prompt_key(str_t prompt, char *buf)
{
	snprintf(buf, STANDIN_PROMPT_KEY_SIZE, "%016llx",
	    (unsigned long long)str_hash(prompt, 0));
	return (buf);
}
