"""Encode records as CBOR (RFC 8949), and decode CBOR and JSON, validated against a type."""

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


def decode_json(data: bytes, record_type: type[T] | Any, code: ResultCode, subject: str = "") -> T:
    """Decode JSON from outside into a type.

    Parameters
    ----------
    subject
        What the bytes hold, which the error names.

    Raises
    ------
    TroutstandError
        With the given code if the bytes cannot be read as JSON of this type.
    """
    try:
        return msgspec.json.decode(data, type=record_type)
    except (ValueError, RecursionError) as error:
        # Invalid JSON, invalid UTF-8 or a type that does not match; or values nested too deeply.
        detail = f"{subject}: {error}" if subject else str(error)
        raise TroutstandError(code, detail) from error


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
