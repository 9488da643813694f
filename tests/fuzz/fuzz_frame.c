/*
 * Guards against the frame parser reading outside its input, or reporting
 * content that is not in it.
 */
#include <assert.h>
#include <stdint.h>

#include "transport/frame.h"

#define MAX_FRAME_BYTES 64

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t offset = 0;
	volatile uint8_t sum = 0;

	while (offset <= size) {
		const uint8_t *content = NULL;
		size_t len = 0;
		size_t i;

		if (cq_frame_parse(data + offset, size - offset,
				   MAX_FRAME_BYTES, &content,
				   &len) != CQ_FRAME_COMPLETE)
			break;
		assert(len <= MAX_FRAME_BYTES);
		assert(content == data + offset + CQ_FRAME_HEADER_BYTES);
		assert(len <= size - offset - CQ_FRAME_HEADER_BYTES);
		for (i = 0; i < len; i++)
			sum ^= content[i];
		offset += CQ_FRAME_HEADER_BYTES + len;
	}
	return 0;
}
