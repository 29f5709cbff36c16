"""Write the heads of responses to callers as they came."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.client_exceptions import ClientConnectionResetError
from aiohttp.http import StreamWriter

if TYPE_CHECKING:
    from multidict import CIMultiDict

_CONTROL_CHARACTERS = frozenset(map(chr, [*range(0x20), 0x7F])) - {"\t"}


class CallerWriter(StreamWriter):
    """Write header values, which are decoded as latin-1, as the bytes that they came from."""

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Write the head of a response.

        Raises
        ------
        ValueError
            If a header contains control characters.
        """
        if all(value.isascii() for value in headers.values()):
            await super().write_headers(status_line, headers)
            return
        lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
        for line in lines:
            if not _CONTROL_CHARACTERS.isdisjoint(line):
                raise ValueError(f"got a control character in the response head line {line!r}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        if self.transport is None or self.transport.is_closing():
            raise ClientConnectionResetError("the caller's connection is closed")
        self.output_size += len(head)
        self.transport.write(head)
