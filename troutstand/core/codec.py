"""Encode records as CBOR (RFC 8949) and decode them, validated against the schema."""

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


def decode_record(data: bytes, record_type: type[T] | Any) -> T:
    """Decode CBOR into a record.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED if the bytes are not valid CBOR or violate the schema.
    """
    try:
        return convert_record(cbor2.loads(data), record_type)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, MemoryError) as error:
        raise TroutstandError(ResultCode.LINK_MALFORMED, str(error)) from error


def convert_record(data: object, record_type: type[T] | Any) -> T:
    """Convert plain data to a record, validated against its schema.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED if the data violates the schema.
    """
    try:
        return msgspec.convert(data, type=record_type, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise TroutstandError(ResultCode.LINK_MALFORMED, str(error)) from error
