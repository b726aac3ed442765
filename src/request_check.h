/* Checks that the head of a caller's request can be sent on. Pure, no I/O. */
#ifndef DAISYPIER_REQUEST_CHECK_H
#define DAISYPIER_REQUEST_CHECK_H

#include "httpd.h"

int request_check(const http_request_t *request, buf_t *fault);

#endif
