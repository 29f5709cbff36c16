"""Parse a caller's request into the forms for the scheduler and for targets."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.configuration import RouteTable, pick_service
from troutstand.core.errors import TroutstandError
from troutstand.core.fingerprint import compute_fingerprint
from troutstand.core.tiers import DEFAULT_TIER_ORDER, TierRanks, rank_tiers
from troutstand.generated.configuration import Route, RoutedWorkspace, RouteKind
from troutstand.generated.messages import Part, RoutedWork
from troutstand.routing.relay import OutgoingRequest, filter_headers
from troutstand.util.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from troutstand.generated.messages import Ended
    from troutstand.generated.routing import TierOrder
    from troutstand.routing.dialect import HeaderNames
    from troutstand.routing.httpclient import Headers

_MAX_PROMPT_PARTS = 64
# What the messages between processes accept.
_MAX_REQUEST_CHARACTERS = 128
_MAX_MODEL_CHARACTERS = 256
_MAX_PART_CHARACTERS = 128
_MAX_TOKENS = 1 << 40
_MAX_TOKEN_DIGITS = 12
# Characters of a value that an error quotes.
_MAX_QUOTED = 64
_MS_PER_S = 1000.0


@dataclass(frozen=True)
class TokenCount:
    """Hold a request's prompt tokens and its maximum of output tokens."""

    prompt: int
    output: int

    @property
    def total(self) -> int:
        """Return the sum of prompt and output tokens."""
        return self.prompt + self.output


@dataclass(frozen=True)
class Call:
    """Hold one parsed request; times in seconds on the steady clock."""

    request: str
    route: Route
    service: str
    workspace: RoutedWorkspace | None
    version: int
    tokens: TokenCount | None
    expected_output: int
    model: str
    parts: list[Part]
    arrived_s: float
    deadline_s: float
    tier_order: TierOrder = DEFAULT_TIER_ORDER
    # Whether the caller has a part of the stream already.
    is_resumed: bool = False
    # The request that brought the first part of a resumed stream; empty if the caller names none.
    resumed_request: str = ""
    # Equal for all requests of a workspace with the same method, host, path and body.
    fingerprint: str = ""

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        route = self.route
        if route.kind is RouteKind.streaming:
            return route.resumable
        return route.kind is RouteKind.idempotent

    @property
    def stream(self) -> str:
        """Return the request that began the stream; empty if the response cannot be resumed."""
        if self.route.kind is not RouteKind.streaming or not self.route.resumable:
            return ""
        return self.resumed_request if self.is_resumed else self.request

    @property
    def shared_parts(self) -> list[str]:
        """Return the parts of the prompt that other requests may have too."""
        return list_shared_parts(self.parts)

    @property
    def tiers(self) -> TierRanks:
        """Return the tier ranks for placement and shedding."""
        workspace_tier = self.workspace.tier if self.workspace is not None else None
        return rank_tiers(workspace_tier or 0, self.route.tier, self.tier_order)

    @property
    def objective_s(self) -> float:
        """Return the latency objective, the route's timeout if it has none."""
        ms = self.route.objective_ms or self.route.timeout_ms
        return ms / _MS_PER_S

    def compute_quota_charge(self) -> float:
        """Return the tokens or requests charged to the rate limit of the workspace."""
        workspace = self.workspace
        if workspace is None or not workspace.tokens_per_s:
            return 0.0
        if not workspace.counts_tokens:
            return 1.0
        return float(self.tokens.total) if self.tokens else workspace.uncounted_tokens

    def identify_broken(self, ended: Ended) -> Ended:
        """Return the report of a broken answer with what identifies requests that crash targets.

        The decider may not know the request.
        """
        return msgspec.structs.replace(
            ended,
            fingerprint=self.fingerprint,
            service=self.service,
            shared_parts=self.shared_parts,
        )

    def create_work(
        self,
        now_s: float,
        attempt: int,
        excluded: list[str],
        failure_domain: str,
        has_response_begun: bool = False,
        running_at: Sequence[str] = (),
        software_version: str | None = None,
    ) -> RoutedWork:
        """Create the placement request for a scheduler.

        Parameters
        ----------
        has_response_begun
            Whether the caller got a part of the response; the silence limit no longer applies.
        running_at
            Targets where earlier attempts still run.
        software_version
            Version of the targets' software that must serve the request; None allows any.
        """
        return RoutedWork(
            request=self.request,
            service=self.service,
            route=self.route.name,
            workspace=self.workspace.name if self.workspace else "",
            tier=self.tiers.placement,
            shed_tier=self.tiers.shed,
            is_repeatable=self.is_repeatable,
            objective_s=self.objective_s,
            pause_s=self.route.pause_ms / _MS_PER_S,
            silence_s=0.0 if has_response_begun else self.route.silence_ms / _MS_PER_S,
            remaining_s=max(0.0, self.deadline_s - now_s),
            spent_s=now_s - self.arrived_s,
            prompt_tokens=self.tokens.prompt if self.tokens else 0,
            output_tokens=self.expected_output,
            charge=self.compute_quota_charge(),
            model=self.model,
            parts=self.parts,
            attempt=attempt,
            attempts=self.route.attempts,
            excluded=excluded,
            is_sticky=self.route.sticky,
            failure_domain=failure_domain,
            fingerprint=self.fingerprint,
            running_at=list(running_at),
            stream=self.stream,
            software_version=software_version,
        )


def parse_token_count(text: str | None) -> TokenCount | None:
    """Parse a token count of the form PROMPT,OUTPUT."""
    if text is None:
        return None
    prompt, _, output = text.partition(",")
    try:
        counts = [max(0, int(prompt)), max(0, int(output or 0))]
    except ValueError as error:
        detail = f"token count {text[:_MAX_QUOTED]!r} is not of the form PROMPT,OUTPUT"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail) from error
    if max(counts) > _MAX_TOKENS:
        detail = f"token count {text[:_MAX_QUOTED]!r} exceeds {_MAX_TOKENS}"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    return TokenCount(*counts)


def parse_prompt_parts(text: str | None) -> list[Part]:
    """Parse prompt parts of the form ID:TOKENS,...; skip invalid entries."""
    parts: list[Part] = []
    for entry in (text or "").split(",")[:_MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(":")
        is_name = name.isascii() and 0 < len(name) <= _MAX_PART_CHARACTERS
        is_count = tokens.isdecimal() and tokens.isascii() and len(tokens) <= _MAX_TOKEN_DIGITS
        if is_name and is_count:
            parts.append(Part(name, int(tokens)))
    return parts


def _check_name(header: str, value: str, max_characters: int) -> None:
    """Raise if a value from a caller would not fit into a message to another process."""
    if len(value) > max_characters or not value.isascii():
        detail = (
            f"header {header}: got {len(value)} characters, "
            f"at most {max_characters} of ASCII are accepted"
        )
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)


def list_shared_parts(parts: list[Part]) -> list[str]:
    """Return the names of a prompt's parts but the last, which is the request's own."""
    return [part.part for part in parts[:-1]]


def _parse_positive(text: str | None) -> float | None:
    try:
        number = float(text) if text is not None else 0.0
    except ValueError:
        # An invalid optional header is ignored.
        return None
    return number if 0.0 < number < math.inf else None


def parse_call(
    table: RouteTable,
    names: HeaderNames,
    headers: Mapping[str, str],
    path: str,
    tier_order: TierOrder = DEFAULT_TIER_ORDER,
) -> Call:
    """Find a request's route and workspace and parse its headers.

    Raises
    ------
    TroutstandError
        PATH_UNKNOWN, TOKEN_UNKNOWN or FIELD_INVALID.
    """
    now_s = read_clock_s()
    host = headers.get("host", "")
    route = table.find_route(host, path.partition("?")[0])
    if route is None:
        raise TroutstandError(ResultCode.PATH_UNKNOWN, f"no route matches {host}{path}")
    request = headers.get(names.request)
    if not request:
        raise TroutstandError(ResultCode.FIELD_INVALID, f"header {names.request} is missing")
    model = headers.get(names.model, "")
    _check_name(names.request, request, _MAX_REQUEST_CHARACTERS)
    _check_name(names.model, model, _MAX_MODEL_CHARACTERS)
    resumed_request = headers.get(names.resumed_request, "")
    _check_name(names.resumed_request, resumed_request, _MAX_REQUEST_CHARACTERS)
    workspace = None
    if table.requires_keys and not route.anonymous:
        workspace = table.find_workspace(headers.get(names.key, ""))
        if workspace is None:
            raise TroutstandError(ResultCode.TOKEN_UNKNOWN, f"route {route.name!r} requires a key")
    tokens = parse_token_count(headers.get(names.tokens))
    limit_ms = min(
        route.timeout_ms, _parse_positive(headers.get(names.deadline_ms)) or float("inf")
    )
    estimated_output = _parse_positive(headers.get(names.output_estimate))
    max_output = tokens.output if tokens else 0
    return Call(
        request=request,
        route=route,
        service=pick_service(route, request),
        workspace=workspace,
        version=table.version,
        tokens=tokens,
        expected_output=min(max_output, int(estimated_output)) if estimated_output else max_output,
        model=model,
        parts=parse_prompt_parts(headers.get(names.parts)),
        arrived_s=now_s,
        deadline_s=now_s + limit_ms / _MS_PER_S,
        tier_order=tier_order,
        is_resumed=route.resumable and bool(headers.get(names.resume)),
        resumed_request=resumed_request,
    )


def add_fingerprint(call: Call, method: str, host: str, path: str, body: bytes) -> Call:
    """Return the call with the fingerprint that identifies equal requests."""
    workspace = call.workspace.name if call.workspace is not None else ""
    return replace(call, fingerprint=compute_fingerprint(workspace, method, host, path, body))


def make_outgoing(
    call: Call, names: HeaderNames, method: str, path: str, headers: Headers, body: bytes
) -> OutgoingRequest:
    """Make the request that is sent to targets, with the caller's headers filtered."""
    replaced_names = {names.key, names.workspace, names.deadline_ms, names.expected_target}
    passed_headers = filter_headers(headers, names.reserved | replaced_names)
    if call.workspace is not None:
        passed_headers.append((names.workspace, call.workspace.name))
    return OutgoingRequest(call.request, method, path, passed_headers, body, call.is_repeatable)


def add_resume_header(
    outgoing: OutgoingRequest, names: HeaderNames, last_id: str
) -> OutgoingRequest:
    """Return the request with the header that resumes a stream after an event."""
    if not last_id:
        return outgoing
    headers = [(k, v) for k, v in outgoing.headers if k.lower() != names.resume]
    headers.append((names.resume, last_id))
    return replace(outgoing, headers=headers)
