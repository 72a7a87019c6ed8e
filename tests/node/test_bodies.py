"""Reading the bodies of callers' requests."""

import io

import falcon
import pytest
from falcon.testing import create_environ

from wasabitray_node.bodies import BODY_START_BYTES, BodyReader
from wasabitray_node.settings import Limits

CONTENT = bytes(range(250)) * 40
LIMITS = Limits(hold_bytes=2_048)


def read(content, declared_length=None, chunked=False):
    headers = {"Transfer-Encoding": "chunked"} if chunked else {}
    if not chunked:
        headers["Content-Length"] = str(declared_length or len(content))
    env = create_environ("/", method="POST", headers=headers)
    env["wsgi.input"] = io.BytesIO(content)
    completed = []
    request = falcon.Request(env)
    body = BodyReader(LIMITS).read(request, lambda: completed.append(True))
    return body, completed


@pytest.mark.parametrize("chunked", [False, True])
def test_streamed_body_has_its_start_and_all_bytes(chunked):
    body, completed = read(CONTENT, chunked=chunked)
    assert body.start == CONTENT[:BODY_START_BYTES]
    assert body.length == (None if chunked else len(CONTENT))
    assert not completed
    assert b"".join(body.stream) == CONTENT
    assert completed


def test_small_body_is_buffered():
    body, _ = read(b"small")
    assert (body.content, body.stream, body.start) == (b"small", None, b"")


def test_body_that_ends_early_is_not_complete():
    body, completed = read(CONTENT[:100], declared_length=len(CONTENT))
    with pytest.raises(Exception, match="ended before"):
        list(body.stream)
    assert not completed
