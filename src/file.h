/* Reads whole files. */
#ifndef DAISYPIER_FILE_H
#define DAISYPIER_FILE_H

#include "str.h"

int file_read(const char *path, buf_t *out);

#endif
