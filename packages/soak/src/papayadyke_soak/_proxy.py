"""A loopback proxy whose links can be delayed, reset, cut one way or silenced."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading
from enum import StrEnum

CHUNK_BYTES = 65_536
RESET_LINGER = struct.pack("ii", 1, 0)  # on, for no time
SILENCE_POLL_S = 0.02  # seconds between two looks at whether a link works again


class LinkMode(StrEnum):
    """Behaviour of a proxy towards its connections."""

    WORKS = "works"
    SLOW = "slow"  # every chunk is held for `delay_s`
    SILENT = "silent"  # nothing passes; connections stay open
    NO_REQUESTS = "no_requests"  # nothing passes toward the server
    NO_ANSWERS = "no_answers"  # nothing passes back


class ProxyLoop:
    """Thread that runs all proxies."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name="proxies", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close its connections."""
        asyncio.run_coroutine_threadsafe(_cancel_others(), self.loop).result(5.0)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=5.0)
        self.loop.close()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


class Proxy:
    """Proxy of one server.

    Parameters
    ----------
    loop : ProxyLoop
    host : str
        IP number of the server, and of the proxy.
    port : int
        Port of the server.
    """

    def __init__(self, loop: ProxyLoop, host: str, port: int) -> None:
        self.mode = LinkMode.WORKS
        self.delay_s = 0.0
        self.host = host
        self.target = port
        self._loop = loop.loop
        self._writers: set[asyncio.StreamWriter] = set()
        opened = asyncio.run_coroutine_threadsafe(self._open(), self._loop)
        self.port: int = opened.result(timeout=5.0)

    @property
    def address(self) -> str:
        """IP number and port of the proxy."""
        return f"{self.host}:{self.port}"

    def set_mode(self, mode: LinkMode, *, delay_s: float = 0.0) -> None:
        """Change the behaviour from now on."""
        self.mode, self.delay_s = mode, delay_s

    def reset(self) -> None:
        """Reset every open connection; new ones work."""
        self._loop.call_soon_threadsafe(self._abort_all)

    def _abort_all(self) -> None:
        for writer in self._writers:
            if writer.transport.is_closing():
                continue
            sock = writer.get_extra_info("socket")
            # Without lingering, closing sends a reset.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

    async def _open(self) -> int:
        server = await asyncio.start_server(self._accept, self.host, 0)
        return int(server.sockets[0].getsockname()[1])

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far = await asyncio.open_connection(self.host, self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far}
        try:
            await asyncio.gather(
                self._forward(reader, far, LinkMode.NO_REQUESTS),
                self._forward(far_reader, writer, LinkMode.NO_ANSWERS),
            )
        finally:
            self._writers -= {writer, far}
            writer.close()
            far.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: LinkMode,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is LinkMode.SLOW:
                    await asyncio.sleep(self.delay_s)
                while self.mode in (LinkMode.SILENT, cut):
                    await asyncio.sleep(SILENCE_POLL_S)
                writer.write(data)
                await writer.drain()
        # The other direction ends with this one.
        writer.close()
