"""Tests of what is learned of many images, which has to fit into the store."""

from basiljunction.coordination.scheduling import _headroom_store
from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _records

MAX_RECORD_BYTES = 262_144
"""Largest record that the store takes, in bytes."""


def _name(kind: str, number: int) -> str:
    """Returns the name of an image by repository and digest."""
    return f"registry.example/team/{kind}@sha256:{number:064x}"


def _learn(
    models: _headroom_store.HeadroomStore, images: int, fillers: int
) -> None:
    """Learns the effect of all fillers on each image once."""
    exposure = {_name("filler", each): 0.1 for each in range(fillers)}
    for number in range(images):
        model = models.update_model(_name("serving", number))
        model.learn_headroom_drop(exposure, 1.0, float(number))


def _store_all(
    models: _headroom_store.HeadroomStore, value_by_key: dict[str, bytes]
) -> None:
    """Stores exports until nothing is left, as the store keeps them."""
    while items := _job_records.encode_record(models.export_learned()):
        for item in items:
            assert _store.record_bytes(item) <= MAX_RECORD_BYTES
            value_by_key[item.key] = item.value
            if not item.value:
                del value_by_key[item.key]


def _restore(value_by_key: dict[str, bytes]) -> _headroom_store.HeadroomStore:
    """Returns the models of a successor."""
    models = _headroom_store.HeadroomStore()
    for key, value in sorted(value_by_key.items()):
        record = _job_records.decode_record(
            _job_records.KeyedRecord(key, value)
        )
        assert isinstance(record, _records.LearnedHeadroomRecord)
        models.restore_learned(record)
    return models


class TestManyImages:
    """What is learned fits into the store's records, and is read back."""

    def test_all_pairs_of_a_burst_fit(self) -> None:
        # The store refused 330,296 bytes of 62 serving and 62 filler images.
        models = _headroom_store.HeadroomStore()
        _learn(models, images=62, fillers=62)
        stored: dict[str, bytes] = {}
        _store_all(models, stored)
        successor = _restore(stored)
        for number in range(62):
            image = _name("serving", number)
            before = models.model_for_image(image).export_learned()
            after = successor.model_for_image(image).export_learned()
            assert before.part_by_filler
            assert after == before

    def test_a_record_keeps_the_newest_fillers(self) -> None:
        models = _headroom_store.HeadroomStore()
        _learn(models, images=1, fillers=600)
        stored: dict[str, bytes] = {}
        _store_all(models, stored)
        (value,) = stored.values()
        assert len(value) <= _headroom_store.MAX_IMAGE_BYTES
        assert _name("filler", 599).encode() in value
        assert _name("filler", 0).encode() not in value

    def test_the_store_does_not_grow_with_each_release(self) -> None:
        models = _headroom_store.HeadroomStore()
        stored: dict[str, bytes] = {}
        for number in range(2 * _headroom_store.MAX_IMAGES):
            models.update_model(_name("serving", number))
        _store_all(models, stored)
        for number in range(2, 4):
            models.update_model(_name("serving", number))
        _store_all(models, stored)
        assert len(stored) == _headroom_store.MAX_IMAGES

    def test_all_records_fit_on_a_page(self) -> None:
        models = _headroom_store.HeadroomStore()
        stored: dict[str, bytes] = {}
        _learn(models, images=100, fillers=150)
        _store_all(models, stored)
        total = sum(map(len, stored.values()))
        assert total <= _headroom_store.MAX_TOTAL_BYTES
        kept = [
            number
            for number in range(100)
            if _name("serving", number).encode() in b"".join(stored.values())
        ]
        assert kept == list(range(100 - len(stored), 100))

    def test_an_export_is_of_the_size_of_one_append(self) -> None:
        models = _headroom_store.HeadroomStore()
        _learn(models, images=62, fillers=62)
        items = _job_records.encode_record(models.export_learned())
        size = sum(len(each.value) for each in items)
        assert size <= 2 * _headroom_store.MAX_EXPORT_BYTES

    def test_an_image_that_fits_no_record_is_left_out(self) -> None:
        models = _headroom_store.HeadroomStore()
        models.update_model("x" * _headroom_store.MAX_IMAGE_BYTES)
        models.update_model("small")
        assert list(models.export_learned().headroom_by_image) == ["small"]
