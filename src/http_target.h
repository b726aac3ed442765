/* The target of a request in its two forms. Pure, no I/O. */
#ifndef DAISYPIER_HTTP_TARGET_H
#define DAISYPIER_HTTP_TARGET_H

char *http_target_split(const char *target, char **origin);

#endif
