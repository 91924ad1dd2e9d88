"""Incremental readers of message heads. Each reads one head and consumes no byte after it.

``httptools`` parses the heads only. It has no way to stop at the end of a message, or to skip the body of a
response to HEAD, so bodies are decoded in :mod:`springmux.node.http.bodies`.
"""

from __future__ import annotations

import httptools

from springmux.node.http.framing import content_length, transfer_codings
from springmux.node.http.header_block import HeaderBlock
from springmux.node.http.types import RequestHead, ResponseHead

_HEAD_END = b"\r\n\r\n"
_SWITCHING_PROTOCOLS = 101


class MalformedMessageError(Exception):
    """Bytes that are not a valid HTTP/1.x message."""


class _HeadReader:
    """Base class of the readers of request and response heads."""

    def __init__(self) -> None:
        self.size_bytes = 0
        self.keep_alive = False
        self.version = ""
        self._lines = bytearray()
        self._complete = False
        self._tail = b""
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = None

    def feed(self, data: bytes) -> int | None:
        """Consume bytes; return how many belong to the head if it is complete now, else ``None``.

        :raises MalformedMessageError: the bytes can't begin a valid head.
        """
        joined = self._tail + data
        end = joined.find(_HEAD_END)
        if end < 0:
            self._tail = joined[-(len(_HEAD_END) - 1) :]
            self._parse(data)
            if self._complete:
                raise MalformedMessageError("the head does not end with an empty CRLF line")
            return None
        used = end + len(_HEAD_END) - len(self._tail)
        self._parse(data[:used])
        self._parser = None
        if not self._complete:
            raise MalformedMessageError("the head is incomplete at its empty line")
        return used

    def _parse(self, data: bytes) -> None:
        self.size_bytes += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are ignored: the message is read as if it offered none (RFC 9110, section 7.8).
            return
        except httptools.HttpParserError as error:
            raise MalformedMessageError(str(error)) from None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (called by the parser, which rejects values with line breaks)."""
        self._lines += b"\r\n%b: %b" % (name.lower(), value)

    def on_headers_complete(self) -> None:
        """Record the end of the head (called by the parser)."""
        assert self._parser is not None
        if self._complete:
            raise MalformedMessageError("a second head begins before the first ends with an empty CRLF line")
        self._complete = True
        self.keep_alive = self._parser.should_keep_alive()
        self.version = self._parser.get_http_version()


class RequestHeadReader(_HeadReader):
    """Reads the head of one request."""

    def __init__(self) -> None:
        super().__init__()
        self._target = b""
        self._request_parser = httptools.HttpRequestParser(self)
        self._parser = self._request_parser
        self._method = b""

    def on_url(self, part: bytes) -> None:
        """Store a part of the target (called by the parser)."""
        self._target += part

    def on_headers_complete(self) -> None:
        """Record the end of the head and the method (called by the parser)."""
        self._method = self._request_parser.get_method()
        super().on_headers_complete()

    def head(self) -> RequestHead:
        """Return the complete head; may be called once.

        :raises MalformedMessageError: its version is neither HTTP/1.0 nor HTTP/1.1.
        """
        del self._request_parser
        if self.version not in ("1.0", "1.1"):
            raise MalformedMessageError("the version is neither HTTP/1.0 nor HTTP/1.1")
        return RequestHead(
            method=self._method, target=self._target, headers=HeaderBlock.from_lines(bytes(self._lines))
        )


class ResponseHeadReader(_HeadReader):
    """Reads the head of one response."""

    def __init__(self) -> None:
        super().__init__()
        self._response_parser = httptools.HttpResponseParser(self)
        self._parser = self._response_parser
        self._status = 0

    def on_headers_complete(self) -> None:
        """Record the end of the head and the status (called by the parser)."""
        self._status = self._response_parser.get_status_code()
        super().on_headers_complete()

    def head(self) -> ResponseHead:
        """Return the complete head; may be called once.

        :raises MalformedMessageError: its framing is not valid, or it switches protocols.
        """
        del self._response_parser
        if self._status == _SWITCHING_PROTOCOLS:
            raise MalformedMessageError("the engine switches protocols")
        headers = tuple(HeaderBlock.from_lines(bytes(self._lines)))
        try:
            length = content_length(headers)
        except ValueError as error:
            raise MalformedMessageError(str(error)) from None
        codings = transfer_codings(headers)
        chunked = bool(codings) and codings[-1] == b"chunked"
        return ResponseHead(status=self._status, headers=headers, length=length, chunked=chunked)
