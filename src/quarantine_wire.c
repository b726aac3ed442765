/*
 * Encoding of the quarantine messages between hosts. Times are sent as ages,
 * because clocks differ; -1 stands for never.
 */
#include "quarantine_wire.h"

#include <math.h>

/* Hosts do not run for longer; a larger age is malformed. */
#define MAX_AGE_S 1e9

static void
pack_time(msgpack_packer *packer, double time, double now)
{
	msgpack_pack_float(
	    packer, time > 0 ? (float)fmax(0, now - time) : -1.0F);
}

static double
read_time(wire_reader_t *reader, double now)
{
	double age = wire_read_double(reader);

	if (!(age < MAX_AGE_S))
		reader->fault = true;
	/* It is never in the future, and never the value that means never. */
	return (age >= 0 && !reader->fault ? fmax(1e-6, now - age) : 0);
}

static void
pack_record(
    msgpack_packer *packer, const quarantine_record_t *record, double now)
{
	msgpack_pack_array(packer, 6);
	msgpack_pack_uint64(packer, record->part);
	pack_time(packer, record->answered_at, now);
	pack_time(packer, record->held_since, now);
	pack_time(packer, record->trial_at, now);
	msgpack_pack_uint64(packer, record->trials);
	msgpack_pack_array(packer, record->crash_count);
	for (size_t i = 0; i < record->crash_count; i++) {
		msgpack_pack_array(packer, 3);
		msgpack_pack_uint64(packer, record->crashes[i].endpoint);
		pack_time(packer, record->crashes[i].at, now);
		wire_pack_bool(packer, record->crashes[i].refuted);
	}
}

static void
read_crashes(wire_reader_t *reader, double now, quarantine_record_t *record)
{
	wire_reader_t crashes = wire_read_array(reader);

	while (!crashes.fault && crashes.left > 0 &&
	       record->crash_count < QUARANTINE_MAX_CRASHES) {
		wire_reader_t fields = wire_read_array(&crashes);
		quarantine_crash_t *crash =
		    &record->crashes[record->crash_count];

		crash->endpoint = wire_read_u64(&fields);
		crash->at = read_time(&fields, now);
		crash->refuted = wire_read_bool(&fields);
		if (fields.fault || crash->at <= 0)
			reader->fault = true;
		else
			record->crash_count++;
	}
	reader->fault |= crashes.fault;
}

static bool
read_record(wire_reader_t *reader, double now, quarantine_record_t *record)
{
	wire_reader_t fields = wire_read_array(reader);

	*record = (quarantine_record_t){0};
	record->part = wire_read_u64(&fields);
	record->answered_at = read_time(&fields, now);
	record->held_since = read_time(&fields, now);
	record->trial_at = read_time(&fields, now);
	record->trials = (unsigned)wire_read_u64(&fields);
	read_crashes(&fields, now, record);
	return (!fields.fault);
}

/* Appends a message with the given records, at most the maximum of a message.
 */
void
quarantine_pack(buf_t *out, bool wants_reply,
    const quarantine_record_t *const *records, size_t count, double now)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 2);
	wire_pack_bool(&packer, wants_reply);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		pack_record(&packer, records[i], now);
}

/* Returns false when the message is malformed; it has no records then. */
bool
quarantine_read(
    const msgpack_object *body, double now, quarantine_message_t *out)
{
	wire_reader_t reader = wire_reader(body);
	wire_reader_t records;

	out->count = 0;
	out->wants_reply = wire_read_bool(&reader);
	records = wire_read_array(&reader);
	while (!reader.fault && records.left > 0 &&
	       out->count < QUARANTINE_MAX_MESSAGE_RECORDS)
		if (read_record(&records, now, &out->records[out->count]))
			out->count++;
		else
			reader.fault = true;
	if (reader.fault || records.fault)
		out->count = 0;
	return (!reader.fault && !records.fault);
}

/*
 * Appends a report. Of more parts than a host keeps records of, only so many
 * are told.
 */
void
quarantine_pack_report(
    buf_t *out, const quarantine_report_t *report, double now)
{
	size_t count = report->count < QUARANTINE_MAX_RECORDS
			   ? report->count
			   : QUARANTINE_MAX_RECORDS;
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, report->crash.endpoint);
	pack_time(&packer, report->crash.at, now);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		msgpack_pack_uint64(&packer, report->parts[i]);
}

/*
 * Reads a report, which the caller frees. Returns false if it is malformed;
 * there is none to free then.
 */
bool
quarantine_read_report(
    const msgpack_object *body, double now, quarantine_report_t *out)
{
	wire_reader_t reader = wire_reader(body);
	wire_reader_t parts;

	*out = (quarantine_report_t){0};
	out->crash.endpoint = wire_read_u64(&reader);
	out->crash.at = read_time(&reader, now);
	parts = wire_read_array(&reader);
	if (reader.fault || out->crash.at <= 0 || parts.left == 0 ||
	    parts.left > QUARANTINE_MAX_RECORDS)
		return (false);
	out->parts = xcalloc(parts.left, sizeof(*out->parts));
	while (!parts.fault && parts.left > 0)
		out->parts[out->count++] = wire_read_u64(&parts);
	if (!parts.fault)
		return (true);
	quarantine_report_free(out);
	return (false);
}

/* Appends a record with its times on the wall clock, for a later reader. */
void
quarantine_pack_stored(
    buf_t *out, const quarantine_record_t *record, double now, double wall)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_double(&packer, wall);
	pack_record(&packer, record, now);
}

/*
 * Reads a stored record. Returns false if it is malformed. If the writer's wall
 * clock is ahead of this host's, the record counts as written just now.
 */
bool
quarantine_read_stored(
    str_t data, double now, double wall, quarantine_record_t *out)
{
	wire_message_t message;
	wire_reader_t reader;
	double age;
	bool ok = false;

	if (wire_message_decode(&message, data) != 0)
		return (false);
	reader = wire_reader(wire_message_root(&message));
	age = fmax(0, wall - wire_read_double(&reader));
	if (!reader.fault && age < MAX_AGE_S)
		ok = read_record(&reader, now - age, out) && !reader.fault;
	wire_message_free(&message);
	return (ok);
}
