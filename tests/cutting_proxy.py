"""A proxy on loopback that resets connections after passing on requests."""

import contextlib
import re
import select
import socket
import struct
import threading
from typing import BinaryIO

_CHUNK_BYTES = 65_536
"""Most bytes that are passed on at once."""

_TARGET_TIMEOUT_S = 10.0
"""Longest time for which a new connection waits for a target, in seconds."""

_LINGER_NONE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a connection resets it."""


class CuttingProxy:
    """Passes HTTP calls on to a port on loopback until it is cut.

    While it is cut, it resets each open connection once it has read a request
    on it, and refuses new connections.

    Args:
        target_port: Port that receives the calls.

    Attributes:
        port: Port on which the proxy listens.
        loses_requests: Whether the requests that it reads while it is cut do
            not reach the target; else only the answers are lost.
        lost_paths: Paths of the requests whose connection it has reset.
    """

    def __init__(self, target_port: int) -> None:
        self.loses_requests = False
        self.lost_paths: list[str] = []
        self._target_port: int | None = target_port
        self._target_changed = threading.Condition()
        self._links: set[_Link] = set()
        self._lock = threading.Lock()
        # Keeps the port from others while nothing listens on it.
        self._reservation = _make_reusable_socket()
        self._reservation.bind(("127.0.0.1", 0))
        self.port: int = self._reservation.getsockname()[1]
        self._listener: socket.socket | None = None
        self._cut_path = ""
        self._cut_duration_s = 0.0
        self.mend()

    def cut(self) -> None:
        """Refuses new connections and resets the others once they are used."""
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is not None:
            # Wakes the thread that accepts connections.
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def part(self, *, is_silent: bool) -> None:
        """Parts all callers from the target, until it is joined to one.

        No answer on a connection that is open now reaches its caller any more.

        Args:
            is_silent: Whether the callers that wait for an answer see nothing
                of it: their connections stay open, idle ones are closed, and
                new ones wait for a target. Else all open ones are closed and
                new ones refused.
        """
        with self._target_changed:
            self._target_port = None
            links = list(self._links)
        if not is_silent:
            self.cut()
        for link in links:
            link.part(is_silent=is_silent)

    def join(self, target_port: int) -> None:
        """Passes the calls on new connections on to a port; ends a cut."""
        with self._target_changed:
            self._target_port = target_port
            self._target_changed.notify_all()
        self.mend()

    def cut_at_next(self, path: str, duration_s: float) -> None:
        """Cuts it for a time from the next request with a path on.

        Args:
            path: The path.
            duration_s: How long the cut lasts, in seconds.
        """
        with self._lock:
            self._cut_path, self._cut_duration_s = path, duration_s

    def mend(self) -> None:
        """Ends the cut; does nothing once it is closed."""
        with self._lock:
            if self._listener is not None or self._reservation.fileno() < 0:
                return
            self._listener = _make_reusable_socket()
            self._listener.bind(("127.0.0.1", self.port))
            self._listener.listen(128)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def close(self) -> None:
        """Refuses new connections for good; open ones end with the target."""
        self.cut()
        with self._lock:
            self._reservation.close()

    @property
    def is_cut(self) -> bool:
        """Whether it is cut."""
        return self._listener is None

    def _accept(self, listener: socket.socket) -> None:
        """Serves each new connection until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                near, _ = listener.accept()
                near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(
                    target=self._serve, args=(near,), daemon=True
                ).start()

    def _serve(self, near: socket.socket) -> None:
        """Passes on the requests of a connection, and the answers to them."""
        link = self._connect(near)
        if link is None:
            near.close()
            return
        far = link.far
        threading.Thread(target=link.pass_answers_on, daemon=True).start()
        with contextlib.suppress(OSError), near.makefile("rb") as requests:
            while request := _read_request(requests):
                path = request.split(b" ", 2)[1].decode()
                self._begin_planned_cut(path)
                link.is_lost = link.is_parted or self.is_cut
                link.is_busy = True
                if not (
                    link.is_parted or (link.is_lost and self.loses_requests)
                ):
                    far.sendall(request)
                if link.is_lost:
                    self.lost_paths.append(path)
                    near.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE
                    )
                    break
        near.close()
        with self._target_changed:
            self._links.discard(link)
        with contextlib.suppress(OSError):
            far.shutdown(socket.SHUT_WR)

    def _connect(self, near: socket.socket) -> "_Link | None":
        """Connects a caller with the target, once there is one.

        Returns None for a caller that did not wait so long: a target that
        comes later receives nothing that was meant for the one before.
        """
        with self._target_changed:
            self._target_changed.wait_for(
                lambda: self._target_port is not None, _TARGET_TIMEOUT_S
            )
            if self._target_port is None or _has_given_up(near):
                return None
            try:
                far = socket.create_connection(("127.0.0.1", self._target_port))
            except OSError:
                return None
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = _Link(near, far)
            self._links.add(link)
            return link

    def _begin_planned_cut(self, path: str) -> None:
        """Cuts the proxy if a cut is planned to begin with this request."""
        with self._lock:
            if path != self._cut_path:
                return
            self._cut_path = ""
        self.cut()
        timer = threading.Timer(self._cut_duration_s, self.mend)
        timer.daemon = True
        timer.start()


class _Link:
    """The two connections that carry the calls of one client.

    Args:
        near: Connection to the client.
        far: Connection to the target.

    Attributes:
        far: Connection to the target.
        is_lost: Whether the client gets no further answer.
        is_parted: Whether the target gets no further request, either.
        is_busy: Whether a request waits for its answer.
    """

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.far = far
        self.is_lost = False
        self.is_parted = False
        self.is_busy = False
        self._near = near

    def part(self, *, is_silent: bool) -> None:
        """Passes nothing on any more; closes the connection.

        Args:
            is_silent: Whether it stays open if a request waits for its answer.
        """
        self.is_lost = self.is_parted = True
        if not (is_silent and self.is_busy):
            with contextlib.suppress(OSError):
                self._near.shutdown(socket.SHUT_RDWR)

    def pass_answers_on(self) -> None:
        """Passes answers on until the target closes the connection."""
        with self.far, contextlib.suppress(OSError):
            while data := self.far.recv(_CHUNK_BYTES):
                self.is_busy = False
                if not self.is_lost:
                    self._near.sendall(data)
            if not self.is_lost:
                self._near.shutdown(socket.SHUT_RDWR)


def _has_given_up(near: socket.socket) -> bool:
    """Returns whether a caller has closed its connection."""
    poll = select.poll()
    poll.register(near, select.POLLRDHUP)
    return bool(poll.poll(0))


def _make_reusable_socket() -> socket.socket:
    """Returns a socket whose port others of its kind may use, too."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return made


def _read_request(requests: BinaryIO) -> bytes:
    """Returns the next request with its whole body; empty if there is none."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = requests.readline()
        if not line:
            return b""
        head += line
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    return head + requests.read(int(length[1]) if length else 0)
