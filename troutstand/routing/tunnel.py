"""Define the protocol by which a gateway opens a connection to a target through a peer.

The peer sends a challenge, the gateway a request with its proof and the target's address, and
the peer its outcome with a proof of its own. Then bytes to the target are passed on as they
are. Bytes from the target come in frames with a length; a frame of length 0 marks an orderly
end, so that a response which ends with its connection is not taken for complete when the peer
itself ends.
"""

from __future__ import annotations

import hmac
import struct
from enum import IntEnum
from typing import TYPE_CHECKING

import cbor2
import msgspec

from troutstand.core.codec import convert_record
from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

if TYPE_CHECKING:
    from troutstand.daemon.links import Identity

CHALLENGE_BYTES = 16
PROOF_BYTES = 32
MAX_REQUEST_BYTES = 1024
REQUEST_HEADER = struct.Struct("!H")
FRAME_HEADER = struct.Struct("!I")
END_FRAME = FRAME_HEADER.pack(0)
REPLY_BYTES = 1 + PROOF_BYTES


class TunnelOutcome(IntEnum):
    """Say how a peer's attempt to connect to a target ended."""

    OPENED = 0
    REFUSED = 1
    UNREACHED = 2
    # The peer itself has lost its path to the target.
    CUT = 3
    BUSY = 4
    DENIED = 5


class TunnelRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a peer for a connection to an address, and prove to hold the site's key."""

    site: str
    process: str
    nonce: bytes
    proof: bytes
    address: str


def make_request(identity: Identity, challenge: bytes, nonce: bytes, address: str) -> bytes:
    """Encode the request for a connection, with its length."""
    proof = identity.compute_proof(identity.process, challenge, nonce + address.encode())
    request = TunnelRequest(identity.site, identity.process, nonce, proof, address)
    data = cbor2.dumps(msgspec.to_builtins(request, builtin_types=(bytes,)))
    return REQUEST_HEADER.pack(len(data)) + data


def parse_request(identity: Identity, challenge: bytes, data: bytes) -> TunnelRequest:
    """Decode a request and check its proof.

    Raises
    ------
    TroutstandError
        LINK_REFUSED if it is malformed or its sender does not hold the site's key.
    """
    try:
        request = convert_record(cbor2.loads(data), TunnelRequest)
    except Exception as error:
        # cbor2 raises various exception types for malformed input.
        raise TroutstandError(ResultCode.LINK_REFUSED, "the tunnel request is malformed") from error
    signed = request.nonce + request.address.encode()
    proof = identity.compute_proof(request.process, challenge, signed)
    if not hmac.compare_digest(proof, request.proof) or request.site != identity.site:
        detail = f"invalid key or site from {request.process!r}"
        raise TroutstandError(ResultCode.LINK_REFUSED, detail)
    return request


def make_reply(identity: Identity, challenge: bytes, nonce: bytes, outcome: TunnelOutcome) -> bytes:
    """Encode the outcome with the peer's own proof."""
    code = bytes([outcome])
    return code + identity.compute_proof(identity.process, nonce, challenge + code)


def parse_reply(
    identity: Identity, peer: str, challenge: bytes, nonce: bytes, data: bytes
) -> TunnelOutcome:
    """Decode an outcome and check the peer's proof.

    Raises
    ------
    TroutstandError
        LINK_REFUSED if it is malformed or the peer does not hold the site's key.
    """
    code, proof = data[:1], data[1:REPLY_BYTES]
    expected = identity.compute_proof(peer, nonce, challenge + code)
    if not hmac.compare_digest(proof, expected):
        raise TroutstandError(ResultCode.LINK_REFUSED, f"{peer} sent an invalid proof")
    try:
        return TunnelOutcome(code[0])
    except ValueError as error:
        raise TroutstandError(
            ResultCode.LINK_REFUSED, f"{peer} sent the unknown outcome {code[0]}"
        ) from error
