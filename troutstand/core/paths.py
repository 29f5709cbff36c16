"""Track which targets a gateway reaches directly and which only through peer gateways."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

# Cut paths, with none that works, from which a gateway concludes that all of its paths are cut.
_MIN_ISOLATED = 2
# Interval between probes of the cut paths, one path at a time.
_PROBE_INTERVAL_S = 1.0
# Paths that are probed at once after one of them works again.
_MAX_PROBED_AT_ONCE = 16
# Time for which an opened connection is watched before its path counts as working: longer if
# connections were lately dropped after they had opened.
_MIN_SETTLE_S = 0.03
_MAX_SETTLE_S = 0.5
_SETTLE_FACTOR = 2.0
# A connection that lived longer was not dropped by its path.
_MAX_DROPPED_AGE_S = 0.25
# Time after which a dropped connection no longer matters.
_DROPS_TTL_S = 5.0
# The addresses heard from longest ago are forgotten first.
_MAX_HEARD = 4096
# A cut path that no request has used for this long is forgotten.
_UNUSED_TTL_S = 30.0


class Reach(Enum):
    """Say how a target's address was reached when it was checked."""

    DIRECT = "direct"
    # Only through a peer gateway.
    TUNNEL = "tunnel"
    # It refuses connections, so the target's process has ended.
    REFUSED = "refused"
    UNREACHED = "unreached"


@dataclass
class CutPath:
    """Describe a path that is cut; times in seconds on the steady clock."""

    since_s: float
    last_used_s: float
    # Whether packets are lost, so that open connections hang too.
    is_silent: bool


class HeardTimes:
    """Hold when bytes last came from each target or peer, in seconds on the steady clock."""

    def __init__(self) -> None:
        self._last_s = float("-inf")
        self._by_address_s: OrderedDict[str, float] = OrderedDict()

    def record(self, address: str, now_s: float) -> None:
        """Record bytes from the address of a target or peer."""
        self._last_s = self._by_address_s[address] = now_s
        self._by_address_s.move_to_end(address)
        if len(self._by_address_s) > _MAX_HEARD:
            self._by_address_s.popitem(last=False)

    def get_last_s(self, address: str | None = None) -> float:
        """Return when bytes last came from an address, or from any one."""
        if address is None:
            return self._last_s
        return self._by_address_s.get(address, float("-inf"))


class DroppedConnections:
    """Tell how long to watch an opened connection, from those dropped before any byte came.

    Where packets are filtered on the way, a connection may open and be reset only afterwards.
    """

    def __init__(self) -> None:
        self._longest_age_s = 0.0
        self._last_s = float("-inf")

    def record(self, age_s: float, now_s: float) -> bool:
        """Record a dropped connection of this age; return whether its path is in doubt."""
        if age_s > _MAX_DROPPED_AGE_S:
            return False
        longest_s = self._longest_age_s if self.is_recent(now_s) else 0.0
        self._longest_age_s, self._last_s = max(longest_s, age_s), now_s
        return True

    def is_recent(self, now_s: float) -> bool:
        """Return whether a connection was dropped lately."""
        return now_s - self._last_s < _DROPS_TTL_S

    def get_settle_s(self, now_s: float) -> float:
        """Return the seconds after which an opened connection counts as staying open."""
        if not self.is_recent(now_s):
            return _MIN_SETTLE_S
        return min(_MAX_SETTLE_S, max(_MIN_SETTLE_S, _SETTLE_FACTOR * self._longest_age_s))


class PathTable:
    """Hold the addresses that this gateway reaches only through peers.

    A path counts as cut only if a peer has reached the address while this gateway did not, so
    that a target that has ended or is silent is not taken for a cut path.
    """

    def __init__(self) -> None:
        # When bytes came over direct connections.
        self.heard = HeardTimes()
        # Direct connections that were closed by the other side before any byte came.
        self.dropped = DroppedConnections()
        self._cut: dict[str, CutPath] = {}
        self._last_direct_s = float("-inf")
        self._next_probe_s = float("-inf")
        self._probed_index = 0

    def __len__(self) -> int:
        return len(self._cut)

    def is_cut(self, address: str) -> bool:
        """Return whether an address is reached only through peers."""
        return address in self._cut

    def is_silent(self, address: str) -> bool:
        """Return whether packets to an address are lost, rather than connections refused."""
        path = self._cut.get(address)
        return path is not None and path.is_silent

    def get_cut_age_s(self, address: str, now_s: float) -> float:
        """Return for how many seconds a path has been cut; 0 if it is not."""
        path = self._cut.get(address)
        return now_s - path.since_s if path is not None else 0.0

    @property
    def is_isolated(self) -> bool:
        """Return whether several paths were cut since any path was last seen to work."""
        last_s = max(self._last_direct_s, self.heard.get_last_s())
        return sum(path.since_s > last_s for path in self._cut.values()) >= _MIN_ISOLATED

    def prefers_tunnel(self, address: str, now_s: float) -> bool:
        """Return whether a new connection should be opened through a peer first."""
        path = self._cut.get(address)
        if path is not None:
            path.last_used_s = now_s
        return path is not None or self.is_isolated

    def record_direct(self, address: str, now_s: float) -> bool:
        """Record that an address was reached directly; return whether its path was cut."""
        self._last_direct_s = now_s
        if self._cut.pop(address, None) is None:
            return False
        # The other paths have probably come back too.
        self._next_probe_s = now_s
        return True

    def record_cut(self, address: str, is_silent: bool, now_s: float) -> bool:
        """Record that only a peer reached an address; return whether its path was not cut."""
        known = self._cut.get(address)
        if known is not None:
            known.is_silent = is_silent
            return False
        if not self._cut:
            self._next_probe_s = now_s + _PROBE_INTERVAL_S
        self._cut[address] = CutPath(now_s, now_s, is_silent)
        return True

    def take_due_probe(self, now_s: float) -> str | None:
        """Return the address to probe now, in turn, or None if no probe is due."""
        self._expire(now_s)
        if not self._cut or now_s < self._next_probe_s:
            return None
        self._next_probe_s = now_s + _PROBE_INTERVAL_S
        self._probed_index += 1
        addresses = list(self._cut)
        return addresses[self._probed_index % len(addresses)]

    def list_probes_after_success(self) -> list[str]:
        """Return the addresses to probe at once, since a probe of another one succeeded."""
        return list(self._cut)[:_MAX_PROBED_AT_ONCE]

    def _expire(self, now_s: float) -> None:
        for address, path in list(self._cut.items()):
            if now_s - path.last_used_s > _UNUSED_TTL_S:
                del self._cut[address]
