/* The answer of every stand-in engine to a prompt, token by token. */
#ifndef DAISYPIER_STANDIN_TOKENS_H
#define DAISYPIER_STANDIN_TOKENS_H

#include "str.h"

#define STANDIN_TOKEN_SIZE	16
#define STANDIN_PROMPT_KEY_SIZE 17

str_t standin_token(str_t prompt, unsigned index, char *buf);
unsigned standin_answer_tokens(str_t prompt, unsigned max_tokens);
void standin_answer(str_t prompt, unsigned max_tokens, buf_t *out);
bool standin_prompt_refused(str_t prompt);
const char *standin_prompt_key(str_t prompt, char *buf);

#endif
