"""Follow the bytes of a target's responses to tell whether one is under way."""

from __future__ import annotations

import httptools

_MIN_FINAL_STATUS = 200


class ResponseProgress:
    """Tell whether a request that was sent has not been answered in full yet.

    Silence is no end: only the end of the response is. Bytes that are not valid HTTP, and a
    response that ends with its connection, stay under way until the connection closes.
    """

    def __init__(self) -> None:
        self.is_under_way = False
        self._is_valid = True
        self._parser = httptools.HttpResponseParser(self)

    def record_request(self) -> None:
        """Record bytes of a request."""
        self.is_under_way = True

    def feed(self, data: bytes) -> None:
        """Add bytes of the target."""
        if not self._is_valid:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # The gateway behind the tunnel refuses such a response, and logs it.
            self._is_valid = False

    def on_message_complete(self) -> None:
        """Record the end of a response, unless it is an informational one."""
        if self._parser.get_status_code() >= _MIN_FINAL_STATUS:
            self.is_under_way = False
