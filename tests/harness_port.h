/* Ports for the processes of a test. */
#ifndef DAISYPIER_TESTS_HARNESS_PORT_H
#define DAISYPIER_TESTS_HARNESS_PORT_H

#include <stddef.h>
#include <stdint.h>

uint16_t harness_port_reserve(const char *const *addresses, size_t count);

#endif
