"""Replay protection in bounded memory."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stamp:
    """Identity of a message, unique within the cell.

    Parameters
    ----------
    sender : str
        Name of the sending process, unique among the processes running at the same
        time.
    incarnation : int
        Grows with each start of the sender, for example the Unix time of the start
        in nanoseconds.
    sequence : int
        Grows with each message of an incarnation.
    sent_unix_s : float
        Unix time of sending, in seconds.
    """

    sender: str
    incarnation: int
    sequence: int
    sent_unix_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplaySettings:
    """Limits of a replay guard.

    Parameters
    ----------
    max_skew_s : float, default=30.0
        Largest difference in seconds between a message's time and the receiver's.
    reorder_window : int, default=8192
        Number of latest sequence numbers of a sender in which messages may arrive
        out of order; older ones are refused.
    max_senders : int, default=4096
        Largest number of senders remembered at the same time.
    """

    max_skew_s: float = 30.0
    reorder_window: int = 8192
    max_senders: int = 4096


@dataclass(slots=True)
class _Sender:
    incarnation: int
    highest: int
    seen_bits: int
    last_unix_s: float


class ReplayGuard:
    """Remembers received messages and accepts each at most once.

    A sender is forgotten only when the time stamps of all its messages would be too
    old; if the memory is full of more recent senders, a new sender is refused.
    Messages sent before `started_unix_s` are refused, because an earlier guard of
    this process may have accepted them.

    Parameters
    ----------
    settings : ReplaySettings
    started_unix_s : float
        Unix time of the start of the process, in seconds.
    """

    def __init__(self, settings: ReplaySettings, *, started_unix_s: float) -> None:
        self.settings = settings
        self.started_unix_s = started_unix_s
        self._senders: OrderedDict[str, _Sender] = OrderedDict()

    def __len__(self) -> int:
        return len(self._senders)

    def accept(self, stamp: Stamp, *, unix_s: float) -> bool:
        """Return whether a genuine message is new, and remember it.

        Call it only for a message whose signature has been verified.
        """
        if not self._is_timely(stamp, unix_s):
            return False
        sender = self._senders.get(stamp.sender)
        if sender is None:
            return self._add(stamp, unix_s)
        if stamp.incarnation < sender.incarnation:
            return False
        if stamp.incarnation > sender.incarnation:
            sender.incarnation = stamp.incarnation
            sender.highest = stamp.sequence
            sender.seen_bits = 1
        elif not _mark_seen(sender, stamp.sequence, self.settings.reorder_window):
            return False
        sender.last_unix_s = max(sender.last_unix_s, unix_s)
        self._senders.move_to_end(stamp.sender)
        return True

    def _is_timely(self, stamp: Stamp, unix_s: float) -> bool:
        skew_s = abs(unix_s - stamp.sent_unix_s)
        is_fresh = skew_s <= self.settings.max_skew_s
        return is_fresh and stamp.sent_unix_s >= self.started_unix_s

    def _add(self, stamp: Stamp, unix_s: float) -> bool:
        if len(self._senders) >= self.settings.max_senders:
            least_recent = next(iter(self._senders.values()))
            # An accepted message may carry a time up to `max_skew_s` after its receipt,
            # and copies of it pass the time check for another `max_skew_s`.
            if unix_s - least_recent.last_unix_s <= 2 * self.settings.max_skew_s:
                return False
            self._senders.popitem(last=False)
        self._senders[stamp.sender] = _Sender(
            stamp.incarnation, stamp.sequence, 1, unix_s
        )
        return True


def _mark_seen(sender: _Sender, sequence: int, reorder_window: int) -> bool:
    """Mark a sequence number as seen; return False if it was seen or is too old."""
    ahead = sequence - sender.highest
    if ahead > 0:
        shift = min(ahead, reorder_window)
        sender.seen_bits = ((sender.seen_bits << shift) | 1) & (
            (1 << reorder_window) - 1
        )
        sender.highest = sequence
        return True
    if -ahead >= reorder_window:
        return False
    bit = 1 << -ahead
    if sender.seen_bits & bit:
        return False
    sender.seen_bits |= bit
    return True
