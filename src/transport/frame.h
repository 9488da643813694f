/*
 * Length-prefixed frames on a byte stream: a 32-bit big-endian length and as
 * many bytes of content.
 */
#ifndef CQ_TRANSPORT_FRAME_H
#define CQ_TRANSPORT_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CQ_FRAME_HEADER_BYTES 4

enum cq_frame_status {
	CQ_FRAME_COMPLETE,
	CQ_FRAME_INCOMPLETE,
	CQ_FRAME_TOO_LARGE,
};

/* Appends the header of a frame with len bytes of content. */
void cq_frame_append_header(GByteArray *out, uint32_t len);

/*
 * Parses the frame at the start of data. Sets *content, which points into data,
 * and *content_len if the frame is complete.
 */
enum cq_frame_status cq_frame_parse(const uint8_t *data, size_t len,
				    uint32_t max_len, const uint8_t **content,
				    size_t *content_len);

#endif
