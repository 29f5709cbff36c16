"""Track the gateways known to a scheduler and the scheduler that each one uses."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from troutstand.core.peers import PeerDirectory

if TYPE_CHECKING:
    from troutstand.core.ids import ProcessId
    from troutstand.core.peers import AssignedPeers
    from troutstand.generated.messages import AttachAsk

# An attached gateway without a heartbeat for this long is detached, if heartbeats are frequent.
GATEWAY_TIMEOUT_S = 1.2
# A silent gateway counts for this long, since its usage of the limits is still within their
# window and its share must not be assigned twice.
_GATEWAY_TTL_S = 30.0


# A gateway uses another decider if its scheduler has not answered for this long. Longer than
# the minimum TCP retransmission timeout (0.2 s), so that one lost packet is tolerated.
SCHEDULER_TIMEOUT_S = 0.4
_MAX_SILENT_PERIODS = 2.5
# A gateway that starts sends heartbeats within this time of accepting connections.
_MAX_START_S = 3.0


def compute_lease(period_s: float) -> float:
    """Return the seconds after a reply for which its gateway counts for the limits.

    With short heartbeat periods no gateway uses another decider within that time.
    """
    return max(SCHEDULER_TIMEOUT_S, _MAX_SILENT_PERIODS * period_s)


def compute_gateway_timeout(period_s: float) -> float:
    """Return the seconds without a heartbeat after which a gateway is detached."""
    return max(GATEWAY_TIMEOUT_S, compute_lease(period_s))


class ProbeResult(Enum):
    """Tell how a silent gateway's host answered a connection."""

    REFUSED = "refused"
    ACCEPTED = "accepted"
    UNANSWERED = "unanswered"


@dataclass
class GatewayState:
    """Hold the state of a gateway from its latest heartbeat."""

    incarnation: str
    last_heard_s: float
    is_attached: bool
    # Number of times the gateway has changed its scheduler.
    attachment: int
    # Empty if the gateway decides without a scheduler.
    scheduler: str = ""
    # The last reply, and when the latest one was sent that the gateway is known to have got.
    reply_number: int = 0
    replied_s: float = float("-inf")
    confirmed_s: float = float("-inf")
    # Whether it has got a reply since it attached.
    has_echoed: bool = False
    # Whether its host refuses connections to it, so that no such process decides anything.
    has_ended: bool = False
    # When a probe last told that it had ended, or that it starts after that.
    probed_s: float = float("-inf")
    # When its host accepted a connection after it had ended.
    accepted_s: float = float("-inf")
    # Seconds of its silence for which it may have decided alone.
    unclear_s: float = 0.0
    # The same of the silence before this incarnation.
    absent_s: float = float("inf")

    @property
    def clear_s(self) -> float:
        """Return when the gateway last used no share unheard, -inf if unknown.

        A heartbeat that a link has held back does not tell.
        """
        return max(self.confirmed_s if self.has_echoed else float("-inf"), self.probed_s)


@dataclass(frozen=True)
class LimitShare:
    """Hold the share of the limits that a scheduler may use, and why.

    Parameters
    ----------
    counted
        Gateways that use this scheduler for certain.
    told
        Those of them that are known to have been told the usage.
    ended
        Gateways that are known to have ended, so that nobody uses their part.
    gateways
        Gateways of the site.
    """

    counted: int
    told: int
    ended: int
    gateways: int

    @property
    def value(self) -> float:
        """Return the share, 0 to 1."""
        return self._compute(self.counted)

    @property
    def told_value(self) -> float:
        """Return the share of those who are known to have been told the usage, 0 to 1."""
        return self._compute(self.told)

    def _compute(self, count: int) -> float:
        return min(1.0, max(1, count) / max(1, self.gateways - self.ended))


@dataclass(frozen=True)
class MostUsedScheduler:
    """Name the scheduler that most gateways use, and how many use it."""

    scheduler: str = ""
    gateways: int = 0


class GatewayRegistry:
    """Track the gateways that send heartbeats."""

    def __init__(self) -> None:
        self._states: dict[ProcessId, GatewayState] = {}
        self._scheduler_counts: Counter[str] = Counter()
        self._first_heartbeat_s = float("inf")
        self._reported_count = 0
        self._peers = PeerDirectory()

    def __len__(self) -> int:
        return len(self._states)

    @property
    def gateway_count(self) -> int:
        """Return the number of gateways of the site, at least 1.

        Just after its start, a scheduler relies on the number that gateways report: it has
        heard from few of them, and a low count gives each too large a share of the limits.
        """
        return max(1, len(self._states), self._reported_count)

    def find(self, gateway: ProcessId) -> GatewayState | None:
        """Return the state of a gateway, or None if it is unknown."""
        return self._states.get(gateway)

    def record_heartbeat(self, gateway: ProcessId, ask: AttachAsk, now_s: float) -> None:
        """Update the state of a gateway from its heartbeat."""
        state = self._states.get(gateway)
        self._move_scheduler_count(state.scheduler if state is not None else "", ask.asks)
        known = state or GatewayState(ask.incarnation, now_s, ask.is_attached, ask.attachment)
        self._states[gateway] = GatewayState(
            ask.incarnation,
            now_s,
            ask.is_attached,
            ask.attachment,
            ask.asks,
            known.reply_number,
            known.replied_s,
            self._find_confirmed_s(known, ask, now_s),
            not ask.is_first and (known.has_echoed or _is_echo(known, ask)),
            absent_s=known.absent_s
            if known.incarnation == ask.incarnation
            else known.unclear_s + now_s - known.clear_s,
        )
        self._peers.update(gateway, ask.failure_domain, is_usable=not ask.is_isolated)
        self._first_heartbeat_s = min(self._first_heartbeat_s, now_s)
        # Later all gateways have sent heartbeats, and reported counts may include expired ones.
        is_starting = now_s - self._first_heartbeat_s < _GATEWAY_TTL_S
        self._reported_count = max(self._reported_count, ask.gateways) if is_starting else 0

    def _find_confirmed_s(self, known: GatewayState, ask: AttachAsk, now_s: float) -> float:
        """Return when the latest reply was sent that a gateway is known to have got.

        A heartbeat that a link has held back does not renew the lease.
        """
        if ask.is_first:
            return now_s
        return known.replied_s if _is_echo(known, ask) else known.confirmed_s

    def find_replied_s(self, gateway: ProcessId, ask: AttachAsk) -> float:
        """Return when the reply was sent that a heartbeat answers; -inf if it is not the last."""
        state = self._states.get(gateway)
        return state.replied_s if state is not None and _is_echo(state, ask) else float("-inf")

    def number_reply(self, gateway: ProcessId, now_s: float) -> int:
        """Return the number of a reply that is sent to a gateway now."""
        state = self._states.get(gateway)
        if state is None:
            return 0
        state.reply_number += 1
        state.replied_s = now_s
        return state.reply_number

    def choose_peers(self, gateway: ProcessId) -> AssignedPeers:
        """Return the gateways that may open connections to targets for a gateway."""
        return self._peers.choose(gateway)

    def _move_scheduler_count(self, before: str, after: str) -> None:
        """Update the number of gateways that use each scheduler."""
        if before:
            self._scheduler_counts[before] -= 1
        if after:
            self._scheduler_counts[after] += 1

    def find_most_used_scheduler(self) -> MostUsedScheduler:
        """Return the scheduler that most gateways use."""
        name = max(self._scheduler_counts, key=self._scheduler_counts.__getitem__, default="")
        return (
            MostUsedScheduler(name, self._scheduler_counts[name]) if name else MostUsedScheduler()
        )

    def count_attached(self) -> int:
        """Return the number of gateways attached to this scheduler."""
        return sum(1 for state in self._states.values() if state.is_attached)

    def get_attached_share(self) -> float:
        """Return the share of the site's gateways that are attached here, 0 to 1."""
        return self.count_attached() / self.gateway_count

    def get_limit_share(self, now_s: float, lease_s: float) -> LimitShare:
        """Return the share of the limits that this scheduler may use.

        Parameters
        ----------
        lease_s
            Time after a reply for which its gateway uses no other decider.
        """
        states = self._states.values()
        counted = [state for state in states if _holds_lease(state, now_s, lease_s)]
        told = sum(state.has_echoed for state in counted)
        ended = sum(state.has_ended for state in states)
        return LimitShare(len(counted), told, ended, self.gateway_count)

    def get_absence_s(self, gateway: ProcessId) -> float:
        """Return the seconds before its start for which a gateway may have decided alone.

        It did not from when it was found to have ended until it accepted connections for too long.
        """
        state = self._states.get(gateway)
        return state.absent_s if state is not None else float("inf")

    def list_silent(self, now_s: float, lease_s: float) -> list[ProcessId]:
        """Return the gateways that may decide alone, or have ended.

        Parameters
        ----------
        lease_s
            Silence after which an attached gateway uses another decider; the other ones send
            heartbeats less often.
        """
        longest_s = max(lease_s, GATEWAY_TIMEOUT_S)
        return [
            gateway
            for gateway, state in self._states.items()
            if now_s - state.last_heard_s > (lease_s if state.is_attached else longest_s)
        ]

    def record_probe(
        self, gateway: ProcessId, heard_s: float, result: ProbeResult, began_s: float, now_s: float
    ) -> bool:
        """Record whether a silent gateway has ended; return whether that is new.

        Parameters
        ----------
        heard_s
            When the gateway was last heard from, as it was found out; a later heartbeat is newer.
        began_s
            When its host was asked.
        """
        state = self._states.get(gateway)
        if state is None or state.last_heard_s != heard_s:
            return False
        had_ended, state.has_ended = state.has_ended, result is ProbeResult.REFUSED
        match result:
            case ProbeResult.REFUSED:
                if not had_ended:
                    state.unclear_s += now_s - state.clear_s
                state.probed_s, state.accepted_s = began_s, float("-inf")
            case ProbeResult.ACCEPTED:
                if had_ended:
                    state.accepted_s = now_s
                if _is_starting(state, now_s):
                    state.probed_s = began_s
            case ProbeResult.UNANSWERED:
                state.accepted_s = float("-inf")
        return state.has_ended is not had_ended

    def detach_silent(self, now_s: float, timeout_s: float) -> dict[ProcessId, float]:
        """Detach silent gateways and remove expired ones; return each detached one's silence."""
        silent: dict[ProcessId, float] = {}
        for gateway, state in list(self._states.items()):
            silent_s = now_s - state.last_heard_s
            if state.is_attached and silent_s > timeout_s:
                state.is_attached = False
                silent[gateway] = silent_s
                self._peers.mark_unusable(gateway)
            if silent_s > _GATEWAY_TTL_S:
                self._move_scheduler_count(state.scheduler, "")
                del self._states[gateway]
                self._peers.remove(gateway)
        return silent

    def reset_silence(self, now_s: float) -> None:
        """Restart the timeouts of all gateways, after this process itself was stalled."""
        for state in self._states.values():
            state.last_heard_s = now_s


def _holds_lease(state: GatewayState, now_s: float, lease_s: float) -> bool:
    return state.is_attached and now_s - state.confirmed_s <= lease_s


def _is_starting(state: GatewayState, now_s: float) -> bool:
    """Return whether a gateway has ended, and accepts connections again."""
    return not state.has_ended and now_s - state.accepted_s <= _MAX_START_S


def _is_echo(known: GatewayState, ask: AttachAsk) -> bool:
    """Return whether a heartbeat answers the last reply to its gateway."""
    return ask.echo == known.reply_number and known.reply_number > 0
