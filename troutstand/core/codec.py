"""Turn records into CBOR (RFC 8949) and back, checked against the schema."""

from __future__ import annotations

from typing import Any, TypeVar

import cbor2
import msgspec

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

T = TypeVar("T")


def encode_record(record: object) -> bytes:
    """Encode a record as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(record, builtin_types=(bytes,)))


def decode_record(data: bytes, kind: type[T] | Any) -> T:
    """Decode CBOR into a record.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED where the bytes are no CBOR or fail the schema.
    """
    try:
        return convert_record(cbor2.loads(data), kind)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, MemoryError) as error:
        raise TroutstandError(ResultCode.LINK_MALFORMED, str(error)) from error


def convert_record(plain: object, kind: type[T] | Any) -> T:
    """Check plain data against a record's schema.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED where the data fails the schema.
    """
    try:
        return msgspec.convert(plain, type=kind, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise TroutstandError(ResultCode.LINK_MALFORMED, str(error)) from error
