"""How an instance that leaves hands its term over without a gap.

A scheduler that leaves offers its term with its next renewal and goes on. An
instance that stays, or one that has just started, requests the term. The
scheduler then stops and resigns, and the instance that requested the term
claims the next one at once. So the term of a leaving scheduler ends only when
there is another, or when its process has to end.

A request is a record of its own: it changes no term, and only the conditional
write of the claim decides who schedules.

An instance that leaves requests nothing. It claims a term only if nobody who
stays does so in time, and offers it in turn.
"""

from basiljunction.state.workload import _leadership

MIN_TERM_S = 0.6
"""Shortest time for which an instance that leaves claims a term, in seconds; a
shorter term ends before its first renewal."""


class HandOver:
    """What an instance knows of the hand-over of the newest term.

    Args:
        instance: Name of this instance.
        incarnation: Identifies this run of the process.
        patience_s: Time within which an instance that stays has claimed or
            requested a term that it may have, in seconds.
        retry_s: Time after which a request that was not read back is repeated,
            in seconds.

    Attributes:
        resign_by_s: Time by which this instance has to resign its term; None if
            it stays.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        patience_s: float,
        retry_s: float,
    ) -> None:
        self.resign_by_s: float | None = None
        self._instance = instance
        self._incarnation = incarnation
        self._patience_s = patience_s
        self._retry_s = retry_s
        self._request: _leadership.TermRequest | None = None
        self._offered_epoch = 0
        self._offered_s = 0.0
        self._next_request_s = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether this instance leaves."""
        return self.resign_by_s is not None

    def reset(self, incarnation: int) -> None:
        """Forgets what another store held; the instance still leaves."""
        self._incarnation = incarnation
        self._request = None
        self._offered_epoch = 0
        self._next_request_s = 0.0

    def record_term(self, term: _leadership.Term, now_s: float) -> None:
        """Records since when a term is offered."""
        if term.is_offered and term.epoch > self._offered_epoch:
            self._offered_epoch = term.epoch
            self._offered_s = now_s

    def record_request(self, request: _leadership.TermRequest) -> None:
        """Records a request, unless one of a later term is known."""
        if self._request is None or request.epoch >= self._request.epoch:
            self._request = request

    def is_requested(self, epoch: int) -> bool:
        """Returns whether an instance requests to follow this term."""
        return self._request is not None and self._request.epoch == epoch

    def _has_requested(self, epoch: int) -> bool:
        """Returns whether this run of the instance requests the term."""
        request = self._request
        return (
            request is not None
            and request.epoch == epoch
            and request.instance == self._instance
            and request.incarnation == self._incarnation
        )

    def may_follow_at_once(self, term: _leadership.Term | None) -> bool:
        """Returns whether a term was resigned for this instance."""
        return (
            term is not None
            and term.is_resigned
            and self._has_requested(term.epoch)
        )

    def make_request(
        self,
        term: _leadership.Term | None,
        end_offset: int,
        delay_s: float,
        now_s: float,
    ) -> _leadership.TermRequest | None:
        """Returns the request of an offered term that is due, or None.

        Args:
            term: The newest term, held by another instance.
            end_offset: Offset up to which the topic has been read.
            delay_s: Delay of a claim of this instance, in seconds.
            now_s: The current time in seconds.
        """
        if self.is_leaving or term is None or term.is_resigned:
            return None
        if term.epoch != self._offered_epoch or self.is_requested(term.epoch):
            return None
        if now_s < max(self._offered_s + delay_s, self._next_request_s):
            return None
        self._next_request_s = now_s + self._retry_s
        return _leadership.TermRequest(
            term.epoch, self._instance, self._incarnation, end_offset
        )

    def must_resign(
        self, epoch: int, now_s: float, *, is_writing: bool
    ) -> bool:
        """Returns whether this instance, which leaves, resigns its term now.

        Args:
            epoch: Epoch of the held term.
            now_s: The current time in seconds.
            is_writing: Whether a renewal is in flight; the resignation would
                wait for it.
        """
        if self.resign_by_s is None:
            return False
        if now_s >= self.resign_by_s:
            return True
        return self.is_requested(epoch) and not is_writing

    def claim_delay_s(
        self,
        term: _leadership.Term | None,
        delay_s: float,
        open_since_s: float,
        now_s: float,
    ) -> float | None:
        """Returns the delay of a claim after the term became open, in seconds.

        None if the time left is too short for a term.

        Args:
            term: The newest term; None if none is known.
            delay_s: Delay of a claim of this instance if it stays, in seconds.
            open_since_s: Time from which on anyone may claim, in seconds.
            now_s: The current time in seconds.
        """
        if (
            self.resign_by_s is not None
            and now_s + MIN_TERM_S > self.resign_by_s
        ):
            return None
        if term is not None and self._has_requested(term.epoch):
            return 0.0
        if self.resign_by_s is None:
            return delay_s
        if (
            term is not None
            and term.epoch == self._offered_epoch
            and not self.is_requested(term.epoch)
        ):
            # Who stays would have requested the term since it is offered.
            return max(0.0, self._offered_s + self._patience_s - open_since_s)
        return self._patience_s
