/* What is sent to an endpoint for an item of a job. */
#include <stdlib.h>
#include <strings.h>

#include "http_syntax.h"
#include "job_run_state.h"
#include "logger.h"

/*
 * Marks an item that no endpoint could be sent as it is. Jobs are checked when
 * they are submitted, but earlier versions stored them unchecked.
 */
void
item_check(item_run_t *item)
{
	const stored_job_t *job = item->run->job;
	job_item_fault_t fault = job_item_check(item->item);

	item->malformed = fault.field != JOB_ITEM_NO_FIELD ||
			  !http_is_field_value(job->job.host);
	if (item->malformed)
		LOG_WARN("item_malformed",
		    "job=%s index=%zu field=%s header=%zu", job->id,
		    (size_t)(item->item - job->job.items),
		    fault.field != JOB_ITEM_NO_FIELD
			? job_item_field_name(fault.field)
			: "host",
		    fault.header);
}

/*
 * Makes an item's headers and target. Those that hosts set replace the item's
 * own; which ones these are depends on whether there are organisations.
 */
void
item_prepare_request(item_run_t *item)
{
	const job_runner_params_t *params = &item->run->runner->params;
	const dialect_t *dialect = params->dialect;
	const routing_table_t *table = params->routes(params->ctx);
	const job_item_t *source = item->item;
	str_t org = item->run->job->job.org;
	bool has_orgs = org.len > 0 || (table != NULL && table->has_orgs);

	/* A configuration with organisations may come between two attempts. */
	if (item->headers.count > 0 && item->has_orgs == has_orgs)
		return;
	header_list_free(&item->headers);
	free(item->target);
	item->has_orgs = has_orgs;
	for (size_t i = 0; i < source->header_count; i++) {
		char *name = str_dup(source->headers[i].name);

		/* Hosts say after which event an item goes on. */
		if (!header_is_hop_by_hop(name) &&
		    strcasecmp(name, dialect->resume_header) != 0 &&
		    !(has_orgs && dialect_identifies_org(dialect, name)))
			(void)header_list_add(&item->headers, str_of(name),
			    source->headers[i].value);
		free(name);
	}
	if (org.len > 0)
		(void)header_list_set(&item->headers, dialect->org_header, org);
	(void)header_list_set(&item->headers, "Host", item->run->job->job.host);
	(void)header_list_set(
	    &item->headers, dialect->request_id_header, source->id);
	item->target = str_dup(source->target);
}

/* Returns the parts of an item's prompt, which are read once. */
const prompt_parts_t *
item_prompt(item_run_t *item)
{
	const dialect_t *dialect = item->run->runner->params.dialect;
	const job_item_t *source = item->item;
	str_t prompt = {0};

	if (item->prompt.has_request)
		return (&item->prompt);
	for (size_t i = 0; i < source->header_count; i++)
		if (str_equal_nocase(source->headers[i].name,
			str_of(dialect->prompt_header)))
			prompt = source->headers[i].value;
	prompt_parts_free(&item->prompt);
	dialect->read_prompt(prompt, &item->prompt);
	prompt_parts_set_request(
	    &item->prompt, source->target, prompt, source->body);
	return (&item->prompt);
}
