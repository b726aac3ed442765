/* A crowd of clients that send large, slow or endless requests. */
#ifndef DAISYPIER_TESTS_HARNESS_CROWD_H
#define DAISYPIER_TESTS_HARNESS_CROWD_H

#include "harness.h"

/* What each client sends: head, then block over and over, then nothing. */
typedef struct crowd_params_t {
	const char *ip;
	uint16_t port;
	unsigned clients;
	str_t head;
	str_t block;
	size_t block_bytes; /* of blocks, sent by each client */
	const harness_process_t *host;
} crowd_params_t;

/* Largest values of the host while the crowd was connected. */
typedef struct crowd_result_t {
	long memory_kb;
	unsigned descriptors;
	size_t bytes_sent;
} crowd_result_t;

typedef struct crowd_t crowd_t;

crowd_t *crowd_start(const crowd_params_t *params);
crowd_result_t crowd_end(crowd_t *crowd);

#endif
