"""Store records durably in a log and a snapshot.

A frame is a magic number, a length, a checksum and a CBOR record. An invalid frame at the end
of a file was never acknowledged and is truncated; one before a valid frame is corruption.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
from typing import TYPE_CHECKING

import xxhash

from troutstand.core.codec import decode_record, encode_record
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError
from troutstand.core.stored import StoredRecord
from troutstand.generated.messages import StoredIdentity, StoredSequence

if TYPE_CHECKING:
    from collections.abc import Iterable
    from io import FileIO
    from pathlib import Path

_MAGIC = b"TsR1"
_HEADER = struct.Struct("<4sIQ")
_LOG = "records.log"
_SNAPSHOT = "records.snapshot"
_IDENTITY = "identity"
_LOCK = "lock"


def frame_record(record: object) -> bytes:
    """Encode a record with its header."""
    data = encode_record(record)
    return _HEADER.pack(_MAGIC, len(data), xxhash.xxh3_64_intdigest(data)) + data


def read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the record's bytes at an offset, or None if the frame is invalid."""
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    body = data[offset + _HEADER.size : offset + _HEADER.size + length]
    if magic != _MAGIC or len(body) != length or xxhash.xxh3_64_intdigest(body) != checksum:
        return None
    return body


def read_frames(data: bytes) -> tuple[list[bytes], int]:
    """Return the bytes of the records before the first invalid frame, and its offset."""
    bodies: list[bytes] = []
    offset = 0
    while (body := read_frame(data, offset)) is not None:
        bodies.append(body)
        offset += _HEADER.size + len(body)
    return bodies, offset


def _has_valid_frame_after(data: bytes, offset: int) -> bool:
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if read_frame(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def read_records(path: Path) -> tuple[list[StoredRecord], int]:
    """Return a file's records and the length in bytes of its valid prefix.

    Raises
    ------
    TroutstandError
        STORAGE_CORRUPT if a valid frame follows an invalid one.
    """
    data = path.read_bytes() if path.exists() else b""
    bodies, offset = read_frames(data)
    records: list[StoredRecord] = [decode_record(body, StoredRecord) for body in bodies]
    if offset < len(data) and _has_valid_frame_after(data, offset):
        raise TroutstandError(
            ResultCode.STORAGE_CORRUPT, f"{path.name}: invalid frame at byte {offset}"
        )
    return records, offset


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(file: FileIO, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def _write_atomically(path: Path, data: bytes) -> None:
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    _sync_folder(path.parent)


def format_folder(folder: Path, identity: StoredIdentity) -> None:
    """Create a data folder with a new disk identity.

    Raises
    ------
    TroutstandError
        DATA_FOLDER_FOREIGN if the folder is already formatted.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / _IDENTITY
    if path.exists():
        raise TroutstandError(ResultCode.DATA_FOLDER_FOREIGN, f"{folder.name} is already formatted")
    _write_atomically(path, frame_record(identity))


def replace_identity(folder: Path, identity: StoredIdentity) -> None:
    """Give a folder a new disk identity, which invalidates its earlier votes."""
    _write_atomically(folder / _IDENTITY, frame_record(identity))


def read_identity(folder: Path) -> StoredIdentity:
    """Read the identity of a data folder's disk.

    Raises
    ------
    TroutstandError
        DATA_FOLDER_UNFORMATTED if it has none.
    """
    records, _ = read_records(folder / _IDENTITY)
    if not records or not isinstance(records[0], StoredIdentity):
        raise TroutstandError(
            ResultCode.DATA_FOLDER_UNFORMATTED,
            f"data_folder {folder.name!r} has no identity; run troutstandd --format first",
        )
    return records[0]


class Storage:
    """Append records to a synced log and replace the log by a snapshot.

    Parameters
    ----------
    folder
        A formatted data folder, locked while open. DATA_FOLDER_IN_USE if already locked.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock = (folder / _LOCK).open("w")
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise TroutstandError(ResultCode.DATA_FOLDER_IN_USE, folder.name) from error
        self.log_record_count = 0
        self.sync_count = 0
        snapshot, _ = read_records(folder / _SNAPSHOT)
        log, valid_bytes = read_records(folder / _LOG)
        self.loaded_records = snapshot + log
        self.log_record_count = len(log)
        sequences = [record.sequence for record in snapshot if isinstance(record, StoredSequence)]
        self._snapshot_sequence = sequences[0] if sequences else 0
        # Unbuffered, so that a later write does not flush the rest of a failed one.
        self._file = (folder / _LOG).open("ab", buffering=0)
        self.log_bytes = valid_bytes
        self._file.truncate(valid_bytes)
        os.fsync(self._file.fileno())
        _sync_folder(folder)

    @property
    def sequence(self) -> int:
        """Return the number of records written since the disk was formatted."""
        return self._snapshot_sequence + self.log_record_count

    def append(self, records: Iterable[StoredRecord]) -> None:
        """Write records and sync them with one fsync.

        Raises
        ------
        TroutstandError
            STORAGE_FAILED if the write fails; the records must not be acknowledged.
        """
        frames = [frame_record(record) for record in records]
        data = b"".join(frames)
        try:
            _write_all(self._file, data)
            os.fsync(self._file.fileno())
        except OSError as error:
            self._truncate_partial_record()
            raise TroutstandError(ResultCode.STORAGE_FAILED, str(error)) from error
        self.log_record_count += len(frames)
        self.log_bytes += len(data)
        self.sync_count += 1

    def _truncate_partial_record(self) -> None:
        """Truncate a partly written record."""
        # On failure the partial record stays at the end, where the next start truncates it;
        # until then, or until a snapshot replaces the log, nothing is appended.
        with contextlib.suppress(OSError):
            self._file.truncate(self.log_bytes)

    def write_snapshot(self, records: Iterable[StoredRecord]) -> None:
        """Write a snapshot of all state and truncate the log."""
        sequence = StoredSequence(self.sequence)
        frames = [frame_record(record) for record in (sequence, *records)]
        _write_atomically(self._folder / _SNAPSHOT, b"".join(frames))
        self._file.truncate(0)
        os.fsync(self._file.fileno())
        self._snapshot_sequence, self.log_record_count = sequence.sequence, 0
        self.log_bytes = 0

    def close(self) -> None:
        """Close the log and unlock the folder."""
        self._file.close()
        self._lock.close()
