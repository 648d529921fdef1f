"""Run numbers of one term, above those of all terms before."""

from collections.abc import Iterable

from basiljunction.coordination.scheduling import _limits
from basiljunction.state.workload import _records


class RunNumbers:
    """Numbers the starts of one term.

    Each epoch has a block of numbers. A term that uses up its block goes on
    with further ones, which shift the blocks of all later epochs. It stores
    how many there were before it sends a start with such a number.

    Args:
        epoch: Epoch of the term.

    Attributes:
        count: Run numbers that this term has used.
    """

    def __init__(self, epoch: int) -> None:
        self.count = 0
        self._epoch = epoch
        self._earlier_blocks = 0
        self._blocks = 0
        self._stored_blocks = 0

    def restore(self, records: Iterable[_records.Record]) -> None:
        """Goes on above the further blocks of earlier terms."""
        for record in records:
            if isinstance(record, _records.RunNumbersRecord):
                self._earlier_blocks = record.further_blocks
                self._blocks = self._stored_blocks = record.further_blocks

    def take(self, records: list[_records.Record]) -> int:
        """Returns the next number.

        Args:
            records: Takes the record to store if a further block begins.
        """
        self.count += 1
        number = self._earlier_end() + self.count
        if number > self._end(self._blocks):
            self._blocks += 1
            records.append(_records.RunNumbersRecord(self._blocks))
        return number

    def may_be_sent(self, number: int) -> bool:
        """Returns whether later terms will have only higher numbers."""
        return number <= self._end(self._stored_blocks)

    def is_of_earlier_term(self, number: int) -> bool:
        """Returns whether a number belongs to an earlier term."""
        return number <= self._earlier_end()

    def handle_stored(self, records: Iterable[_records.Record]) -> None:
        """Allows starts with numbers of blocks that the store knows."""
        for record in records:
            if isinstance(record, _records.RunNumbersRecord):
                self._stored_blocks = record.further_blocks

    def _earlier_end(self) -> int:
        """Returns the last number of the terms before."""
        return (self._epoch - 1 + self._earlier_blocks) * _limits.RUNS_PER_EPOCH

    def _end(self, further_blocks: int) -> int:
        """Returns the last number that this term has with so many blocks."""
        return (self._epoch + further_blocks) * _limits.RUNS_PER_EPOCH
