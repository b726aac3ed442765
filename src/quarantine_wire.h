/* Encoding of the quarantine messages between hosts. */
#ifndef DAISYPIER_QUARANTINE_WIRE_H
#define DAISYPIER_QUARANTINE_WIRE_H

#include "quarantine.h"
#include "wire.h"

/* Records of one message. */
#define QUARANTINE_MAX_MESSAGE_RECORDS 16

typedef struct quarantine_message_t {
	bool wants_reply; /* the sender asks for the receiver's records */
	size_t count;
	quarantine_record_t records[QUARANTINE_MAX_MESSAGE_RECORDS];
} quarantine_message_t;

void quarantine_pack(buf_t *out, bool wants_reply,
    const quarantine_record_t *const *records, size_t count, double now);
bool quarantine_read(
    const msgpack_object *body, double now, quarantine_message_t *out);

void quarantine_pack_report(
    buf_t *out, const quarantine_report_t *report, double now);
bool quarantine_read_report(
    const msgpack_object *body, double now, quarantine_report_t *out);

/* A record with the wall clock of its writer, for the store. */
void quarantine_pack_stored(
    buf_t *out, const quarantine_record_t *record, double now, double wall);
bool quarantine_read_stored(
    str_t data, double now, double wall, quarantine_record_t *out);

#endif
