"""Fencing tokens that tell the incarnations of one upstream apart."""

from __future__ import annotations

import threading

from papayadyke_daemon.edge._ports import FencedError

# Tokens of one term at one upstream. A later term has a higher revision of the store,
# so that all of its tokens are higher.
TOKENS_PER_TERM = 2**16


class IncarnationFence:
    """Fencing token of a term for one upstream, which rises with each incarnation.

    An upstream refuses calls with a lower token than it has seen. A new incarnation has
    seen none, and may carry out calls that were meant for the former one. Once it has
    answered a call with a raised token, it refuses them.

    Safe to use from any thread.

    Parameters
    ----------
    first_token, last_token : int
        Range of the tokens.
    """

    def __init__(self, first_token: int, last_token: int) -> None:
        self._lock = threading.Lock()
        self._token = first_token
        self._last_token = last_token
        self._incarnation: int | None = None

    @property
    def token(self) -> int:
        """Token of the present incarnation."""
        with self._lock:
            return self._token

    @property
    def incarnation(self) -> int | None:
        """Incarnation that was met last; None before the first contact."""
        with self._lock:
            return self._incarnation

    def find_token(self, incarnation: int | None) -> int | None:
        """Return the token for a call that is meant for an incarnation.

        Returns
        -------
        token : int or None
            None if another incarnation has been met since.
        """
        with self._lock:
            return self._token if incarnation == self._incarnation else None

    def meet(self, incarnation: int) -> bool:
        """Record the incarnation that has answered a call.

        Returns
        -------
        is_fenced : bool
            Whether the incarnation has seen the present token. If not, calls that were
            meant for the former one may still be carried out.

        Raises
        ------
        FencedError
            If the term has used up its tokens.
        """
        with self._lock:
            former, self._incarnation = self._incarnation, incarnation
            if former is None or former == incarnation:
                return True
            if self._token >= self._last_token:
                raise FencedError
            self._token += 1
            return False


class UpstreamFences:
    """Fences of all upstreams of a term, which outlast their agents.

    Parameters
    ----------
    term_token : int
        Revision of the store at which the term began.
    """

    def __init__(self, term_token: int) -> None:
        self._first_token = term_token * TOKENS_PER_TERM
        self._last_token = self._first_token + TOKENS_PER_TERM - 1
        self._fences: dict[str, IncarnationFence] = {}

    def get_or_create(self, upstream_id: str) -> IncarnationFence:
        """Return the fence of an upstream."""
        fence = self._fences.get(upstream_id)
        if fence is None:
            fence = IncarnationFence(self._first_token, self._last_token)
            self._fences[upstream_id] = fence
        return fence

    def remove(self, upstream_id: str) -> None:
        """Forget an upstream; if it returns, its tokens are higher than before."""
        fence = self._fences.pop(upstream_id, None)
        if fence is not None:
            self._first_token = max(self._first_token, fence.token + 1)
