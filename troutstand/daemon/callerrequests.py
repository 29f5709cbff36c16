"""Parse callers' requests and validate them against the table."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import msgspec
from aiohttp import hdrs, web

from troutstand.core.codec import decode_json
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.fingerprint import compute_fingerprint, compute_part_digests
from troutstand.core.prefix import Prefixes, count_tokens, hash_prefixes
from troutstand.daemon.errorresponse import IDEMPOTENCY_KEY_HEADER
from troutstand.generated.table import Model, Service, Target, Tier, Workspace

if TYPE_CHECKING:
    from troutstand.core.table import Table
    from troutstand.generated.settings import Limits

TIER_HEADER = "X-Tier"
ATTEMPT_HEADER = "X-Attempt"
MAX_ATTEMPTS = 100
MAX_ATTEMPT_DIGITS = 4
DEFAULT_ANSWER_TOKENS = 256
MAX_KEY_CHARACTERS = 128
_KEY_BYTES = 12
_MAX_PARTS = 64
_BEARER = "Bearer "
T = TypeVar("T")


class ChatMessage(msgspec.Struct):
    """Hold one message of a chat."""

    role: str
    content: str | list[Any] | None = None


class ChatBody(msgspec.Struct):
    """Hold the fields of a chat completion that the scheduler reads."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class CompletionBody(msgspec.Struct):
    """Hold the fields of a text completion that the scheduler reads."""

    model: str
    prompt: str | list[Any]
    stream: bool = False
    max_tokens: int | None = None


@dataclass(frozen=True)
class Caller:
    """Identify the workspace that sends a request and the tier at which it runs."""

    workspace: Workspace
    tier: Tier


@dataclass(frozen=True)
class EngineRequest:
    """Hold a validated request for a model."""

    key: str
    is_key_generated: bool
    request: str
    caller: Caller
    path: str
    model: str
    body: bytes
    is_chat: bool
    stream: bool
    include_usage: bool
    prompt_tokens: int
    answer_tokens: int
    prefixes: Prefixes
    # Digests of the prompt's messages but the last.
    shared_parts: list[str] = field(default_factory=list)

    @property
    def workspace_key(self) -> str:
        """Return the idempotency key qualified by the workspace."""
        return f"{self.caller.workspace.name}/{self.key}"

    @property
    def fingerprint(self) -> str:
        """Return a hash that requests of the workspace share if path and body are equal."""
        return compute_fingerprint(self.caller.workspace.name, "POST", "", self.path, self.body)


@dataclass
class TableIndex:
    """Index the rows of the table that requests are validated against."""

    workspaces: dict[str, Workspace] = field(default_factory=dict)
    tiers: dict[str, Tier] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)

    def update(self, table: Table) -> None:
        """Index the rows of a newer table."""
        self.workspaces = {r.token_sha256: r for r in table.select(Workspace).values()}
        self.tiers = table.select(Tier)
        self.models = table.select(Model)
        self.services = table.select(Service)
        self.targets = table.select(Target)

    def authorize_caller(self, request: web.Request) -> Caller:
        """Return the caller's workspace and tier.

        Raises
        ------
        TroutstandError
            TOKEN_UNKNOWN, FIELD_INVALID or TIER_FORBIDDEN.
        """
        header = request.headers.get(hdrs.AUTHORIZATION, "")
        digest = hashlib.sha256(header.removeprefix(_BEARER).encode()).hexdigest()
        workspace = self.workspaces.get(digest)
        if workspace is None or not header.startswith(_BEARER):
            raise TroutstandError(ResultCode.TOKEN_UNKNOWN)
        own_tier = self.tiers[workspace.tier]
        requested = request.headers.get(TIER_HEADER)
        if requested is None:
            return Caller(workspace, own_tier)
        tier = self.tiers.get(requested)
        if tier is None:
            accepted = ", ".join(sorted(self.tiers))
            raise TroutstandError(
                ResultCode.FIELD_INVALID, f"tier {requested[:64]!r}; accepted are {accepted}"
            )
        if tier.rank < own_tier.rank:
            raise TroutstandError(
                ResultCode.TIER_FORBIDDEN,
                f"tier {requested} is above the workspace's {own_tier.name}",
            )
        return Caller(workspace, tier)


def get_idempotency_key(request: web.Request) -> tuple[str, bool]:
    """Return the request's idempotency key and whether it was generated here.

    Raises
    ------
    TroutstandError
        KEY_INVALID.
    """
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is None:
        return secrets.token_urlsafe(_KEY_BYTES), True
    if not 0 < len(key) <= MAX_KEY_CHARACTERS or not key.isprintable():
        raise TroutstandError(
            ResultCode.KEY_INVALID, f"1 to {MAX_KEY_CHARACTERS} printable characters are accepted"
        )
    return key, False


def parse_attempt(request: web.Request) -> int:
    """Return the attempt number that the caller sends with its key, 1 by default.

    A caller must never lower the number. Retry counts of client libraries are unsuitable,
    because they restart with each call.

    Raises
    ------
    TroutstandError
        FIELD_INVALID.
    """
    text = request.headers.get(ATTEMPT_HEADER, "1")
    attempt = int(text) if text.isdecimal() and len(text) < MAX_ATTEMPT_DIGITS else 0
    if not 1 <= attempt <= MAX_ATTEMPTS:
        detail = f"{ATTEMPT_HEADER} {text[:16]!r}; 1 to {MAX_ATTEMPTS} are accepted"
        raise TroutstandError(ResultCode.FIELD_INVALID, detail)
    return attempt


async def read_body(request: web.Request, limits: Limits) -> bytes:
    """Read a request's body.

    Raises
    ------
    TroutstandError
        BODY_TOO_LARGE, or BODY_MALFORMED if it is not complete in time.
    """
    length = request.content_length
    if length is not None and length > limits.body_bytes:
        detail = f"{length} bytes; at most {limits.body_bytes} are accepted"
        raise TroutstandError(ResultCode.BODY_TOO_LARGE, detail)
    body = bytearray()
    try:
        async with asyncio.timeout(limits.body_s):
            async for chunk in request.content.iter_any():
                body.extend(chunk)
                if len(body) > limits.body_bytes:
                    detail = f"at most {limits.body_bytes} bytes are accepted"
                    raise TroutstandError(ResultCode.BODY_TOO_LARGE, detail)
    except TimeoutError as error:
        detail = f"{len(body)} of {length} bytes were received in {limits.body_s} s"
        raise TroutstandError(ResultCode.BODY_MALFORMED, detail) from error
    return bytes(body)


def _decode_body(body: bytes, body_type: type[T]) -> tuple[dict[str, Any], T]:
    payload = decode_json(body, Any, ResultCode.BODY_MALFORMED)
    try:
        return payload, msgspec.convert(payload, body_type)
    except msgspec.ValidationError as error:
        raise TroutstandError(ResultCode.FIELD_INVALID, str(error)) from error


def _join_content(content: str | list[Any] | None) -> str:
    if isinstance(content, str):
        return content
    return msgspec.json.encode(content).decode() if content else ""


def _format_messages(messages: list[ChatMessage]) -> list[str]:
    return [f"{message.role}: {_join_content(message.content)}" for message in messages]


def _list_shared_parts(texts: list[str]) -> list[str]:
    """Return digests of the newest messages but the last, which is the request's own."""
    return compute_part_digests(texts[:-1][-_MAX_PARTS:])


def _check_answer_tokens(requested: int | None, model: Model) -> int:
    if requested is None:
        return DEFAULT_ANSWER_TOKENS
    if not 0 < requested <= model.context_tokens:
        raise TroutstandError(
            ResultCode.FIELD_INVALID,
            f"max_tokens {requested}; 1 to {model.context_tokens} are accepted",
        )
    return requested


def parse_engine_request(
    request: web.Request, body: bytes, caller: Caller, table_index: TableIndex
) -> EngineRequest:
    """Parse and validate a request for a model.

    Raises
    ------
    TroutstandError
        BODY_MALFORMED, FIELD_INVALID, MODEL_UNKNOWN or KEY_INVALID.
    """
    key, is_key_generated = get_idempotency_key(request)
    is_chat = request.path.endswith("/chat/completions")
    texts: list[str] = []
    if is_chat:
        payload, chat = _decode_body(body, ChatBody)
        texts = _format_messages(chat.messages)
        text, model_name, stream = "\n".join(texts), chat.model, chat.stream
        requested_tokens = chat.max_completion_tokens or chat.max_tokens
    else:
        payload, completion = _decode_body(body, CompletionBody)
        text, model_name, stream = (
            _join_content(completion.prompt),
            completion.model,
            completion.stream,
        )
        requested_tokens = completion.max_tokens
    model = table_index.models.get(model_name)
    if model is None:
        raise TroutstandError(ResultCode.MODEL_UNKNOWN, f"model {model_name[:64]!r}")
    answer_tokens = _check_answer_tokens(requested_tokens, model)
    options = payload.get("stream_options")
    include_usage = isinstance(options, dict) and bool(options.get("include_usage"))
    # The engine always streams, so that an interrupted answer is detected at once and resumed.
    payload["stream"] = True
    payload["stream_options"] = {"include_usage": True}
    return EngineRequest(
        key=key,
        is_key_generated=is_key_generated,
        request=secrets.token_hex(_KEY_BYTES),
        caller=caller,
        path=request.path,
        model=model_name,
        body=msgspec.json.encode(payload),
        is_chat=is_chat,
        stream=stream,
        include_usage=include_usage,
        prompt_tokens=count_tokens(text),
        answer_tokens=answer_tokens,
        prefixes=hash_prefixes(model_name, text),
        shared_parts=_list_shared_parts(texts),
    )
