"""Remember which version of the targets' software began each stream that may be resumed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from troutstand.generated.messages import OriginGroup

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# A stream is remembered for one to two of these. Callers retry within their deadlines.
GENERATION_S = 20.0
# Bounds the memory of one generation; about 60 MB.
MAX_STREAMS = 200_000
# A message of so many takes some milliseconds to encode.
MAX_GROUP_STREAMS = 5_000


class StreamOrigins:
    """Hold the versions that began streams, in two generations by time.

    Only a first event tells of a version: a stream may be placed at one and begin at another, if
    the first target is silent. Streams are told to other processes only while a service has
    several versions.
    """

    def __init__(self) -> None:
        self._current: dict[str, str] = {}
        self._previous: dict[str, str] = {}
        self._began_s = float("-inf")
        self._untold: dict[str, str] = {}
        self._is_telling = False
        # Called when there are streams to tell after there were none.
        self.on_untold: Callable[[], None] | None = None

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def record(self, stream: str, version: str, now_s: float) -> None:
        """Record the version that sent a stream's first event."""
        if now_s - self._began_s >= GENERATION_S or len(self._current) >= MAX_STREAMS:
            self._previous, self._current = self._current, {}
            self._began_s = now_s
        if self._current.get(stream) == version:
            return
        self._current[stream] = version
        if self._is_telling:
            self._add_untold({stream: version})

    def _add_untold(self, streams: dict[str, str]) -> None:
        had_none = not self._untold
        self._untold.update(streams)
        if had_none and self._untold and self.on_untold is not None:
            self.on_untold()

    def merge(self, groups: Iterable[OriginGroup], now_s: float) -> None:
        """Record what another process has told."""
        for group in groups:
            for stream in group.streams:
                self.record(stream, group.software_version, now_s)

    def find(self, stream: str) -> str | None:
        """Return the version that began a stream, or None if it is not known."""
        version = self._current.get(stream)
        return self._previous.get(stream) if version is None else version

    def set_telling(self, is_telling: bool) -> None:
        """Collect new streams for `drain_untold`, at first all that are known, or stop that."""
        if is_telling and not self._is_telling:
            self._add_untold(self._previous | self._current)
        elif not is_telling:
            self._untold = {}
        self._is_telling = is_telling

    def drain_untold(self) -> list[OriginGroup]:
        """Return the streams recorded since the last call."""
        untold, self._untold = self._untold, {}
        return _group_streams(untold)

    def list_groups(self) -> list[OriginGroup]:
        """Return all streams that are known."""
        return _group_streams(self._previous | self._current)


def _group_streams(streams: dict[str, str]) -> list[OriginGroup]:
    """Return streams by their versions, in groups that messages accept."""
    by_version: defaultdict[str, list[str]] = defaultdict(list)
    for stream, version in streams.items():
        by_version[version].append(stream)
    return [
        OriginGroup(version, names[start : start + MAX_GROUP_STREAMS])
        for version, names in sorted(by_version.items())
        for start in range(0, len(names), MAX_GROUP_STREAMS)
    ]
