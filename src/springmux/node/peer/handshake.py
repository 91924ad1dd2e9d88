"""Authentication of peer connections: challenge, hello, welcome.

With a shared secret both sides prove that they know it: HMAC-SHA-256 (RFC 2104) over the other
side's nonce and one's own names, compared in constant time. Without a secret the names alone are
checked, which guards against a wrong address, not against an attacker.
"""

from __future__ import annotations

import hashlib
import hmac
import os

import msgspec

from springmux.vocabulary.errors import SpringmuxError

NONCE_BYTES = 16


class HandshakeError(SpringmuxError):
    """The other side is not a peer of this fleet. ``reason`` is a stable label for metrics."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"peer refused: {reason}")
        self.reason = reason


class Challenge(msgspec.Struct, frozen=True, tag="Challenge"):
    """First message, from the accepting side."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, tag="Hello"):
    """The connecting side's names. ``boot`` differs at each start of its process."""

    fleet: str
    node: str
    boot: str
    lane: str
    nonce: bytes
    proof: bytes = b""


class Welcome(msgspec.Struct, frozen=True, tag="Welcome"):
    """The accepting side's names."""

    fleet: str
    node: str
    boot: str
    proof: bytes = b""


Handshake = Challenge | Hello | Welcome
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Handshake] = msgspec.msgpack.Decoder(Handshake)


def encode_handshake(message: Handshake) -> bytes:
    """Return a handshake message's bytes."""
    return _encoder.encode(message)


def decode_handshake(data: bytes) -> Handshake:
    """Return the handshake message in ``data``.

    :raises HandshakeError: if ``data`` is no such message.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        raise HandshakeError("malformed") from None


class HandshakeAuthenticator:
    """Create and verify one node's handshake messages."""

    def __init__(self, fleet: str, node: str, boot: str, secret: str | None) -> None:
        self._fleet = fleet
        self._node = node
        self._boot = boot
        self._secret = secret.encode() if secret is not None else None

    def challenge(self) -> Challenge:
        """Return a fresh challenge."""
        return Challenge(nonce=os.urandom(NONCE_BYTES))

    def hello(self, challenge: Challenge, lane: str) -> Hello:
        """Return the hello that answers a challenge, with a challenge of its own."""
        nonce = os.urandom(NONCE_BYTES)
        proof = self._proof("hello", challenge.nonce, self._fleet, self._node, self._boot, lane)
        return Hello(self._fleet, self._node, self._boot, lane, nonce, proof)

    def welcome(self, challenge: Challenge, hello: Hello) -> Welcome:
        """Verify a hello and return the welcome.

        :raises HandshakeError: if it is of another fleet, of this node's name, or does not know the secret.
        """
        if hello.fleet != self._fleet:
            raise HandshakeError("fleet")
        if hello.node == self._node:
            raise HandshakeError("own_name")
        expected = self._proof("hello", challenge.nonce, hello.fleet, hello.node, hello.boot, hello.lane)
        if not hmac.compare_digest(expected, hello.proof):
            raise HandshakeError("secret")
        proof = self._proof("welcome", hello.nonce, self._fleet, self._node, self._boot)
        return Welcome(self._fleet, self._node, self._boot, proof)

    def check_welcome(self, hello: Hello, welcome: Welcome) -> None:
        """Verify the accepting side's welcome.

        :raises HandshakeError: if it is of another fleet, of this node's name, or does not know the secret.
        """
        if welcome.fleet != self._fleet:
            raise HandshakeError("fleet")
        if welcome.node == self._node:
            raise HandshakeError("own_name")
        expected = self._proof("welcome", hello.nonce, welcome.fleet, welcome.node, welcome.boot)
        if not hmac.compare_digest(expected, welcome.proof):
            raise HandshakeError("secret")

    def _proof(self, purpose: str, nonce: bytes, *names: str) -> bytes:
        if self._secret is None:
            return b""
        # A length before each field distinguishes ("ab", "c") from ("a", "bc").
        fields = [purpose.encode(), nonce, *(name.encode() for name in names)]
        text = b"".join(len(field).to_bytes(4, "big") + field for field in fields)
        return hmac.digest(self._secret, text, hashlib.sha256)
