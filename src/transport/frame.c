#include "transport/frame.h"

#include <arpa/inet.h>
#include <string.h>

void cq_frame_append_header(GByteArray *out, uint32_t len)
{
	uint32_t header = htonl(len);

	g_byte_array_append(out, (const guint8 *)&header, sizeof(header));
}

enum cq_frame_status cq_frame_parse(const uint8_t *data, size_t len,
				    uint32_t max_len, const uint8_t **content,
				    size_t *content_len)
{
	uint32_t header;

	if (len < CQ_FRAME_HEADER_BYTES)
		return CQ_FRAME_INCOMPLETE;
	memcpy(&header, data, sizeof(header));
	header = ntohl(header);
	if (header > max_len)
		return CQ_FRAME_TOO_LARGE;
	if (len - CQ_FRAME_HEADER_BYTES < header)
		return CQ_FRAME_INCOMPLETE;
	*content = data + CQ_FRAME_HEADER_BYTES;
	*content_len = header;
	return CQ_FRAME_COMPLETE;
}
