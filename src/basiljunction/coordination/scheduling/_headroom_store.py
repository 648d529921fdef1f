"""Keeps the headroom models of serving images within what can be stored.

Each image has a record of its own. All records together stay within one page
of the store's answers, so that a successor reads them at once: the images
without a report for longest are forgotten.
"""

import json

from basiljunction.coordination.scheduling import _headroom_model
from basiljunction.state.workload import _records

DEFAULT_HEADROOM = 2.5
"""Headroom (latency target over tail latency) assumed for a serving image
without reports."""

MAX_IMAGES = 500
"""Most serving images that are kept; the store lists 500 records on a page."""

MAX_TOTAL_BYTES = 1_000_000
"""Size of the records of all images, in bytes; a page of the store has 1 MB."""

MAX_IMAGE_BYTES = 65_536
"""Largest size of the record of one image, in bytes, a quarter of the largest
record; the filler images learned last are stored."""

MAX_EXPORT_BYTES = 65_536
"""Size from which on a record waits for the next export, in bytes; the journal
stores that much with one append."""

ENTRY_BYTES = 64
"""Upper bound of what an entry has besides the name of its image, in bytes: a
number of up to 25 characters, field names and punctuation."""


class HeadroomStore:
    """Headroom models by serving image, and which of them are to be stored."""

    def __init__(self) -> None:
        # The least recently used is first in both.
        self._model_by_image: dict[str, _headroom_model.HeadroomModel] = {}
        self._unstored_images: dict[str, None] = {}
        self._stored_bytes_by_image: dict[str, int] = {}
        self._forgotten_images: list[str] = []

    def model_for_image(self, image: str) -> _headroom_model.HeadroomModel:
        """Returns the headroom model of a serving image; new if unknown."""
        model = self._model_by_image.get(image)
        if model is None:
            model = _headroom_model.HeadroomModel(DEFAULT_HEADROOM)
            self._model_by_image[image] = model
            if len(self._model_by_image) > MAX_IMAGES:
                self._forget_image(next(iter(self._model_by_image)))
        return model

    def update_model(self, image: str) -> _headroom_model.HeadroomModel:
        """Returns the model of an image to learn from a report."""
        model = self.model_for_image(image)
        self._model_by_image[image] = self._model_by_image.pop(image)
        self._unstored_images.setdefault(image)
        return model

    def export_learned(self) -> _records.LearnedHeadroomRecord:
        """Returns a record of the models that have waited longest for it."""
        learned_by_image: dict[str, _records.LearnedHeadroom] = {}
        export_bytes = 0
        while self._unstored_images and export_bytes < MAX_EXPORT_BYTES:
            image = next(iter(self._unstored_images))
            del self._unstored_images[image]
            learned, size = _limit_size(
                image, self._model_by_image[image].export_learned()
            )
            if learned is None:
                continue
            learned_by_image[image] = learned
            self._stored_bytes_by_image[image] = size
            export_bytes += size
        self._forget_excess()
        forgotten, self._forgotten_images = self._forgotten_images, []
        return _records.LearnedHeadroomRecord(
            {
                image: learned
                for image, learned in learned_by_image.items()
                if image in self._model_by_image
            },
            tuple(e for e in forgotten if e not in self._model_by_image),
        )

    def restore_learned(self, record: _records.LearnedHeadroomRecord) -> None:
        """Restores the models that an earlier scheduler stored."""
        for image, learned in record.headroom_by_image.items():
            self.model_for_image(image).restore_learned(learned)
            _, size = _limit_size(image, learned)
            self._stored_bytes_by_image[image] = size

    def _forget_excess(self) -> None:
        """Forgets the images used longest ago that don't fit altogether."""
        excess = sum(self._stored_bytes_by_image.values()) - MAX_TOTAL_BYTES
        for image in list(self._model_by_image):
            if excess <= 0:
                return
            excess -= self._stored_bytes_by_image.get(image, 0)
            self._forget_image(image)

    def _forget_image(self, image: str) -> None:
        """Forgets an image; its record is deleted with the next export."""
        del self._model_by_image[image]
        self._unstored_images.pop(image, None)
        if self._stored_bytes_by_image.pop(image, None) is not None:
            self._forgotten_images.append(image)


def _limit_size(
    image: str, learned: _records.LearnedHeadroom
) -> tuple[_records.LearnedHeadroom | None, int]:
    """Returns what fits into a record of the newest fillers, and its size.

    None if the image itself doesn't fit.
    """
    size = _entry_bytes(image)
    if size > MAX_IMAGE_BYTES:
        return None, 0
    kept: dict[str, float] = {}
    for filler, loss in reversed(learned.part_by_filler.items()):
        filler_bytes = _entry_bytes(filler)
        if size + filler_bytes > MAX_IMAGE_BYTES:
            continue
        kept[filler] = loss
        size += filler_bytes
    return (
        _records.LearnedHeadroom(learned.base, dict(reversed(kept.items()))),
        size,
    )


def _entry_bytes(image: str) -> int:
    """Returns an upper bound of the size of an image's entry as JSON."""
    return len(json.dumps(image)) + ENTRY_BYTES
