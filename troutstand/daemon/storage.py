"""Keep records in files that last once synced.

A record is a mark, its length, its checksum and its CBOR bytes. A bad record
at the end of the file was never acknowledged and is cut off; one with good
records behind it means that the disk lost what was acknowledged (issue 4).
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

_MARK = b"TsR1"
_HEADER = struct.Struct("<4sIQ")
_LOG = "records.log"
_SNAPSHOT = "records.snapshot"
_IDENTITY = "identity"
_LOCK = "lock"


def frame_record(record: StoredRecord) -> bytes:
    """Frame a record for the file."""
    data = encode_record(record)
    return _HEADER.pack(_MARK, len(data), xxhash.xxh3_64_intdigest(data)) + data


def _read_at(data: bytes, offset: int) -> bytes | None:
    """Return the record's bytes at an offset, or None where they are bad."""
    if offset + _HEADER.size > len(data):
        return None
    mark, length, checksum = _HEADER.unpack_from(data, offset)
    body = data[offset + _HEADER.size : offset + _HEADER.size + length]
    if mark != _MARK or len(body) != length or xxhash.xxh3_64_intdigest(body) != checksum:
        return None
    return body


def _has_record_after(data: bytes, offset: int) -> bool:
    position = data.find(_MARK, offset + 1)
    while position >= 0:
        if _read_at(data, position) is not None:
            return True
        position = data.find(_MARK, position + 1)
    return False


def read_records(path: Path) -> tuple[list[StoredRecord], int]:
    """Read a file's records and the length of its good part in bytes.

    Raises
    ------
    TroutstandError
        STORAGE_CORRUPT where a bad record has a good one behind it.
    """
    data = path.read_bytes() if path.exists() else b""
    records: list[StoredRecord] = []
    offset = 0
    while offset < len(data):
        body = _read_at(data, offset)
        if body is None:
            break
        records.append(decode_record(body, StoredRecord))
        offset += _HEADER.size + len(body)
    if offset < len(data) and _has_record_after(data, offset):
        raise TroutstandError(ResultCode.STORAGE_CORRUPT, f"{path.name} at byte {offset}")
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


def _write_whole(path: Path, data: bytes) -> None:
    scratch = path.with_suffix(".new")
    with scratch.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    scratch.rename(path)
    _sync_folder(path.parent)


def format_folder(folder: Path, identity: StoredIdentity) -> None:
    """Make a data folder for a new disk.

    Raises
    ------
    TroutstandError
        DATA_FOLDER_FOREIGN where the folder is formatted already.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / _IDENTITY
    if path.exists():
        raise TroutstandError(ResultCode.DATA_FOLDER_FOREIGN, f"{folder.name} is formatted already")
    _write_whole(path, frame_record(identity))


def replace_identity(folder: Path, identity: StoredIdentity) -> None:
    """Make a folder another disk's, so that nothing it voted before counts."""
    _write_whole(folder / _IDENTITY, frame_record(identity))


def read_identity(folder: Path) -> StoredIdentity:
    """Read whose disk a folder is.

    Raises
    ------
    TroutstandError
        DATA_FOLDER_UNFORMATTED where it is nobody's.
    """
    records, _ = read_records(folder / _IDENTITY)
    if not records or not isinstance(records[0], StoredIdentity):
        raise TroutstandError(
            ResultCode.DATA_FOLDER_UNFORMATTED,
            f"data_folder {folder.name!r} has no identity; run troutstandd --format first",
        )
    return records[0]


class Storage:
    """Append records, sync them, and replace them by a snapshot.

    Parameters
    ----------
    folder
        A formatted data folder; it is locked while open.
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
        log, good_bytes = read_records(folder / _LOG)
        self.loaded = snapshot + log
        self.log_record_count = len(log)
        counted = [r.sequence for r in snapshot if isinstance(r, StoredSequence)]
        self._snapshot_sequence = counted[0] if counted else 0
        # Unbuffered, so that a refused write leaves nothing behind to come later.
        self._file = (folder / _LOG).open("ab", buffering=0)
        self.log_bytes = good_bytes
        self._file.truncate(good_bytes)
        os.fsync(self._file.fileno())
        _sync_folder(folder)

    @property
    def sequence(self) -> int:
        """Return how many records were written since the disk was formatted."""
        return self._snapshot_sequence + self.log_record_count

    def append(self, records: Iterable[StoredRecord]) -> None:
        """Write records and sync them once.

        Raises
        ------
        TroutstandError
            STORAGE_FAILED where the disk refuses; nothing may be acknowledged then.
        """
        frames = [frame_record(record) for record in records]
        data = b"".join(frames)
        try:
            _write_all(self._file, data)
            os.fsync(self._file.fileno())
        except OSError as error:
            self._cut_back()
            raise TroutstandError(ResultCode.STORAGE_FAILED, str(error)) from error
        self.log_record_count += len(frames)
        self.log_bytes += len(data)
        self.sync_count += 1

    def _cut_back(self) -> None:
        """Take a half-written record away, so that later ones can be read."""
        # The refused write is told already. What stays of it is at the end, where a start
        # cuts it off; nothing is appended behind it, since the state is written anew first.
        with contextlib.suppress(OSError):
            self._file.truncate(self.log_bytes)

    def write_snapshot(self, records: Iterable[StoredRecord]) -> None:
        """Write a snapshot of all state and empty the log."""
        sequence = StoredSequence(self.sequence)
        frames = [frame_record(record) for record in (sequence, *records)]
        _write_whole(self._folder / _SNAPSHOT, b"".join(frames))
        self._file.truncate(0)
        os.fsync(self._file.fileno())
        self._snapshot_sequence, self.log_record_count = sequence.sequence, 0
        self.log_bytes = 0

    def close(self) -> None:
        """Close the files."""
        self._file.close()
        self._lock.close()
