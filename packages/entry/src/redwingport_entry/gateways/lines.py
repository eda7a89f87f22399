"""Reader of newline-delimited messages in a response body."""

from collections.abc import AsyncIterator

import httpcore

from redwingport_entry.exceptions import EntryError


async def read_lines(response: httpcore.Response, max_line_bytes: int) -> AsyncIterator[bytes]:
    """Yield the lines of a response body as they arrive.

    :param response: a response whose body was not read.
    :param max_line_bytes: longest line accepted, in bytes.
    :raises EntryError: when a line is longer, or the body ends without a newline.
    """
    buffer = b""
    async for chunk in response.aiter_stream():
        buffer += chunk
        if b"\n" in chunk:
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                if line:
                    yield line
        if len(buffer) > max_line_bytes:
            raise EntryError("read lines", "", f"a line exceeds {max_line_bytes} bytes")
    if buffer:
        raise EntryError("read lines", "", "the body ends inside a line")
