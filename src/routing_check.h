/* Finds entries of a routing table that contradict each other or never match.
 */
#ifndef DAISYPIER_ROUTING_CHECK_H
#define DAISYPIER_ROUTING_CHECK_H

#include "routing_table.h"

/* What was found; routing_rule_name() is the name in reports. */
typedef enum routing_rule_t {
	/* Errors: hosts bring it into force not at all, or not in full. */
	ROUTING_REJECTED,
	ROUTING_ENTRY_UNREADABLE,
	ROUTING_NOT_NEWER,
	/* Warnings. */
	ROUTING_ROUTE_HIDDEN,
	ROUTING_ROUTE_UNREACHABLE,
	ROUTING_POOL_MISSING,
	ROUTING_WEIGHTS_ZERO,
	ROUTING_PUBLIC_JOBS,
	ROUTING_TIMEOUT_MISSING,
	ROUTING_TIMEOUT_TOO_LONG,
	ROUTING_TARGET_TOO_LONG,
	ROUTING_RETENTION_TOO_SHORT,
	ROUTING_POOL_TWICE,
	ROUTING_POOL_UNUSED,
	ROUTING_NO_ORGS,
	ROUTING_ORG_WITHOUT_KEYS,
	ROUTING_BURST_TOO_SMALL,
	ROUTING_BURST_UNUSED,
	ROUTING_RULES,
} routing_rule_t;

/* Position of what concerns no single entry. */
#define ROUTING_WHOLE_TABLE "configuration"

typedef struct routing_finding_t {
	routing_rule_t rule;
	char *where; /* such as "route HOST/PREFIX/" */
	char *text;
} routing_finding_t;

typedef struct routing_findings_t {
	routing_finding_t *items;
	size_t count;
	size_t error_count;
} routing_findings_t;

/* What a configuration is checked against. */
typedef struct routing_limits_t {
	double max_timeout; /* seconds that a request may take */
} routing_limits_t;

const char *routing_rule_name(routing_rule_t rule);
bool routing_rule_is_error(routing_rule_t rule);

void routing_findings_add(routing_findings_t *findings, routing_rule_t rule,
    const char *where, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void routing_findings_free(routing_findings_t *findings);

void routing_check(const routing_table_t *table, const routing_limits_t *limits,
    routing_findings_t *findings);
void routing_check_newer(const routing_table_t *table,
    const routing_table_t *in_force, routing_findings_t *findings);

#endif
