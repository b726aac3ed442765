/* Tests of packing and of checked decoding. */
#include "suite.h"

#include <string.h>

#include "clock.h"
#include "wire.h"

static int
decode(str_t data)
{
	wire_message_t message;
	int rc = wire_message_decode(&message, data);

	if (rc == 0)
		wire_message_free(&message);
	return (rc);
}

/* Guards against a few bytes that claim gigabytes of elements. */
static void
test_claimed_counts_are_checked(void)
{
	CU_ASSERT(decode(STR("\xdd\xff\xff\xff\xff")) < 0);
	CU_ASSERT(decode(STR("\xdf\xff\xff\xff\xff")) < 0);
	CU_ASSERT(decode(STR("\xdc\xff\xff")) < 0);
	CU_ASSERT(decode(STR("\x92\x01\xdd\x7f\xff\xff\xff\x01\x01")) < 0);
	CU_ASSERT(decode(STR("\x92\x01")) < 0);
	CU_ASSERT(decode(STR("\xc6\xff\xff\xff\xff")) < 0);
	CU_ASSERT(decode(STR("")) < 0);
	CU_ASSERT(decode(STR("\x92\x01\x02")) == 0);
	CU_ASSERT(decode(STR("\x92\x01\x02\x03")) < 0);
}

static void
pack_all_types(msgpack_packer *packer)
{
	static const char text[70000];

	msgpack_pack_array(packer, 20);
	msgpack_pack_nil(packer);
	wire_pack_bool(packer, true);
	wire_pack_bool(packer, false);
	msgpack_pack_float(packer, 1.5F);
	msgpack_pack_double(packer, 1.5);
	msgpack_pack_uint64(packer, 200);
	msgpack_pack_uint64(packer, 60000);
	msgpack_pack_uint64(packer, UINT32_MAX);
	msgpack_pack_uint64(packer, UINT64_MAX);
	msgpack_pack_int64(packer, -100);
	msgpack_pack_int64(packer, INT64_MIN);
	wire_pack_str(packer, STR("short"));
	wire_pack_str(packer, (str_t){text, 200});
	wire_pack_str(packer, (str_t){text, 60000});
	wire_pack_bin(packer, (str_t){text, 200});
	wire_pack_bin(packer, (str_t){text, 70000});
	msgpack_pack_map(packer, 1);
	msgpack_pack_uint64(packer, 1);
	msgpack_pack_uint64(packer, 2);
	msgpack_pack_ext_with_body(packer, text, 4, 1);
	msgpack_pack_ext_with_body(packer, text, 300, 1);
	msgpack_pack_array(packer, 20);
	for (int i = 0; i < 20; i++)
		msgpack_pack_uint64(packer, 1);
}

/* Guards against a check that rejects valid messages or accepts a cut one. */
static void
test_every_type_passes_and_no_cut_does(void)
{
	buf_t data = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &data);
	pack_all_types(&packer);
	CU_ASSERT(decode(str_buf(&data)) == 0);
	for (size_t len = 0; len < data.len; len += 1 + len / 100)
		CU_ASSERT(decode((str_t){data.data, len}) < 0);
	CU_ASSERT(decode((str_t){data.data, data.len - 1}) < 0);
	buf_free(&data);
}

/* Guards against crashes on random bytes. */
static void
test_random_bytes(void)
{
	rng_t rng = rng_seeded(20261204);

	for (int i = 0; i < 20000; i++) {
		char data[64];
		size_t len = rng_below(&rng, sizeof(data));

		for (size_t j = 0; j < len; j++)
			data[j] = (char)rng_next(&rng);
		if (len > 0 && i % 2 == 0)
			data[0] = (char)(0xdc + rng_below(&rng, 4));
		(void)decode((str_t){data, len});
	}
	CU_PASS("no crash");
}

static const suite_test_t tests[] = {
    {"claimed counts are checked", test_claimed_counts_are_checked},
    {"every type passes and no cut does",
	test_every_type_passes_and_no_cut_does},
    {"random bytes", test_random_bytes},
};

SUITE_MAIN("wire", tests)
