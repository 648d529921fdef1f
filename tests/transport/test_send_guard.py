"""Tests of the guard against a second sending, over real sockets."""

import pycurl
import pytest

from basiljunction.transport import _send_guard
import resetting_server


def _post(handle: pycurl.Curl, url: str, guard: _send_guard.SendGuard) -> None:
    """Sends a request with a body under a guard."""
    handle.reset()
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.POSTFIELDS, b"body")
    handle.setopt(pycurl.WRITEFUNCTION, len)
    handle.setopt(pycurl.PROXY, "")
    guard.watch(handle)
    handle.perform()


class TestSendGuard:
    """A request is sent a second time only if it may be repeated."""

    @pytest.mark.parametrize("is_repeatable", [False, True])
    def test_a_second_sending(self, *, is_repeatable: bool) -> None:
        server = resetting_server.ResettingServer(200)
        handle = pycurl.Curl()
        _post(handle, server.url, _send_guard.SendGuard(is_repeatable=False))
        guard = _send_guard.SendGuard(is_repeatable=is_repeatable)
        if is_repeatable:
            _post(handle, server.url, guard)
        else:
            with pytest.raises(pycurl.error):
                _post(handle, server.url, guard)
        handle.close()
        server.close()
        assert guard.may_have_sent
        assert guard.was_second_refused is not is_repeatable
        assert len(server.received_bodies) == (3 if is_repeatable else 2)

    def test_a_refused_connection_is_no_sending(self) -> None:
        server = resetting_server.ResettingServer(None)
        server.close()
        guard = _send_guard.SendGuard(is_repeatable=False)
        with pytest.raises(pycurl.error):
            _post(pycurl.Curl(), server.url, guard)
        assert not guard.may_have_sent
        assert not guard.was_second_refused
