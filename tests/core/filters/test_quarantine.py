"""Which requests count as the same one sent again."""

import pytest
from msgspec.structs import replace

from wasabitray_core.filters.quarantine import compute_fingerprint
from wasabitray_core.requests import Request

REQUEST = Request(
    "hobart", "POST", "/x", "a=1", body=b"claim", length=5, id="id-1",
    authority="rota.example", caller="10.0.0.1",
)  # fmt: skip
UPLOAD = replace(
    REQUEST, body=b"", stream=iter(()), length=9_000, body_start=b"sheet 1"
)


def is_same(request, **changes):
    other = replace(request, **changes)
    return compute_fingerprint(request) == compute_fingerprint(other)


@pytest.mark.parametrize("request_", [REQUEST, UPLOAD])
def test_request_that_is_sent_again_has_the_same_fingerprint(request_):
    assert is_same(request_, id="id-2", headers=(("X-Try", "2"),))


@pytest.mark.parametrize(
    "changes",
    [
        {"organisation": "burnie"},
        {"authority": "desk.example"},
        {"caller": "10.0.0.2"},
        {"method": "PUT"},
        {"path": "/y"},
        {"query": "a=2"},
        {"body": b"other"},
    ],
)
def test_request_with_other_content_is_another_one(changes):
    assert not is_same(REQUEST, **changes)


@pytest.mark.parametrize(
    "changes",
    [{"body_start": b"sheet 2"}, {"length": 9_001}, {"length": None}],
)
def test_uploads_with_other_content_do_not_share_a_quarantine(changes):
    assert not is_same(UPLOAD, **changes)


def test_key_of_the_caller_identifies_a_request():
    keyed = replace(REQUEST, key="k")
    assert is_same(keyed, caller="10.0.0.2", body=b"other")
    assert not is_same(keyed, key="l")
