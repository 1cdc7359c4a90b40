"""Signed envelope of every message between daemons."""

from __future__ import annotations

import time
from dataclasses import dataclass

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from papayadyke_clients.keys import Authenticator, Seal, SealFault, Signature, Stamp


class _Content(Struct, frozen=True, array_like=True):
    """Hold the signed part of an envelope.

    It names the receiver and the request that it replies to, so a copy sent to
    another receiver, or as the reply to another call, is rejected.
    """

    receiver: str
    reply_to: int
    body: bytes


class _Envelope(Struct, frozen=True, array_like=True):
    sender: str
    incarnation: int
    sequence: int
    sent_unix_s: float
    key_id: str
    mac: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class SealedEnvelope:
    """Hold an encoded envelope and the sequence number that its reply names."""

    data: bytes
    sequence: int


@dataclass(frozen=True, slots=True)
class OpenedMessage:
    """Hold a message whose signature is valid and that is not a replay."""

    sender: str
    sequence: int
    reply_to: int
    body: bytes


class Malformed(Struct, frozen=True):
    """Report data that is not an envelope, or one for another receiver."""


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_CONTENT_DECODER = msgspec.msgpack.Decoder(_Content)


def seal_envelope(
    authenticator: Authenticator, *, receiver: str, reply_to: int, body: bytes
) -> SealedEnvelope:
    """Sign a message for one receiver; `reply_to` is 0 for a request."""
    content = _ENCODER.encode(_Content(receiver, reply_to, body))
    seal = authenticator.seal(content, unix_s=time.time())
    stamp = seal.stamp
    envelope = _Envelope(
        sender=stamp.sender,
        incarnation=stamp.incarnation,
        sequence=stamp.sequence,
        sent_unix_s=stamp.sent_unix_s,
        key_id=seal.signature.key_id,
        mac=seal.signature.mac,
        content=content,
    )
    return SealedEnvelope(_ENCODER.encode(envelope), stamp.sequence)


def open_envelope(
    authenticator: Authenticator, data: bytes
) -> Result[OpenedMessage, SealFault | Malformed]:
    """Verify an envelope and return its message."""
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
        content = _CONTENT_DECODER.decode(envelope.content)
    except msgspec.DecodeError:
        return Err(Malformed())
    if content.receiver != authenticator.sender:
        return Err(Malformed())
    stamp = Stamp(
        envelope.sender,
        envelope.incarnation,
        envelope.sequence,
        envelope.sent_unix_s,
    )
    seal = Seal(stamp, Signature(envelope.key_id, envelope.mac))
    fault = authenticator.check(envelope.content, seal, unix_s=time.time())
    if fault is not None:
        return Err(fault)
    return Ok(
        OpenedMessage(stamp.sender, stamp.sequence, content.reply_to, content.body)
    )
