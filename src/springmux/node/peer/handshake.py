"""Authentication of peer connections: challenge, hello, welcome.

With a shared secret, each side proves that it knows the secret by an HMAC-SHA-256 (RFC 2104) over the other
side's nonce and its own names, which is compared in constant time. Without a secret only the names are
checked, which guards against a wrong address but not against an attacker.
"""

from __future__ import annotations

import hashlib
import hmac
import os

import msgspec

from springmux.vocabulary.errors import SpringmuxError

NONCE_BYTES = 16


class HandshakeError(SpringmuxError):
    """The handshake failed: the other side is no valid peer of this fleet.

    ``reason`` is a stable label for metrics and logs.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"handshake with the peer failed: {reason}")
        self.reason = reason


class Challenge(msgspec.Struct, frozen=True, tag="Challenge"):
    """First message, sent by the accepting side."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, tag="Hello"):
    """Response to the challenge: names and proof of the connecting side, and its own nonce.

    ``boot`` identifies one run of the process and changes at each start.
    """

    fleet: str
    node: str
    boot: str
    lane: str
    nonce: bytes
    proof: bytes = b""


class Welcome(msgspec.Struct, frozen=True, tag="Welcome"):
    """Response to the hello: names and proof of the accepting side."""

    fleet: str
    node: str
    boot: str
    proof: bytes = b""


Handshake = Challenge | Hello | Welcome
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Handshake] = msgspec.msgpack.Decoder(Handshake)


def encode_handshake(message: Handshake) -> bytes:
    """Return the MessagePack encoding of a handshake message."""
    return _encoder.encode(message)


def decode_handshake(data: bytes) -> Handshake:
    """Return the handshake message in ``data``.

    :raises HandshakeError: with the reason ``malformed`` if ``data`` can't be decoded.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        raise HandshakeError("malformed") from None


class HandshakeAuthenticator:
    """Creates and verifies the handshake messages of one node."""

    def __init__(self, fleet: str, node: str, boot: str, secret: str | None) -> None:
        self._fleet = fleet
        self._node = node
        self._boot = boot
        self._secret = secret.encode() if secret is not None else None

    def challenge(self) -> Challenge:
        """Return a challenge with a new nonce."""
        return Challenge(nonce=os.urandom(NONCE_BYTES))

    def hello(self, challenge: Challenge, lane: str) -> Hello:
        """Return the hello in response to a challenge. Its nonce challenges the other side."""
        nonce = os.urandom(NONCE_BYTES)
        proof = self._proof("hello", challenge.nonce, self._fleet, self._node, self._boot, lane)
        return Hello(self._fleet, self._node, self._boot, lane, nonce, proof)

    def welcome(self, challenge: Challenge, hello: Hello) -> Welcome:
        """Verify a hello and return the welcome.

        :raises HandshakeError: if the hello has another fleet, this node's own name, or no valid proof.
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

        :raises HandshakeError: if the welcome has another fleet, this node's own name, or no valid proof.
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
        message = b"".join(len(field).to_bytes(4, "big") + field for field in fields)
        return hmac.digest(self._secret, message, hashlib.sha256)
