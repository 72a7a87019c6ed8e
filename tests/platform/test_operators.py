"""The HTTP resource with which operators send configurations."""

import logging

import falcon
import falcon.testing
import gevent
import pytest
from result import Err

from wasabitray_core.errors import NotLeaderError
from wasabitray_platform.operators import CONFIG_PATH, ConfigResource


class FakeRouter:
    """Fails the test if a message is sent."""

    def ask(self, controller, message, timeout):
        raise AssertionError(f"unexpected message: {message}")


@pytest.mark.parametrize(
    "body",
    [
        "",
        "{",
        "[" * 100_000,
        '{"routes": ' + "[" * 100_000,
        b"\xff",
        f'{{"version": "r{2**63}", "routes": [], "services": []}}',
    ],
    ids=["empty", "cut", "nested", "nested routes", "not UTF-8", "version"],
)
def test_configuration_that_cannot_be_read_is_refused(body):
    app = falcon.App()
    app.add_route(CONFIG_PATH, ConfigResource(FakeRouter(), 8382))
    client = falcon.testing.TestClient(app)
    response = client.simulate_put(CONFIG_PATH, body=body)
    assert response.status_code == 400


class SilentRouter:
    """Never replies."""

    def ask(self, controller, message, timeout):
        raise gevent.Timeout(timeout)


def test_order_without_a_reply_is_logged(caplog):
    caplog.set_level(logging.INFO, "wasabitray")
    app = falcon.App()
    app.add_route(CONFIG_PATH, ConfigResource(SilentRouter(), 8382))
    client = falcon.testing.TestClient(app)
    assert client.simulate_get(CONFIG_PATH).status_code == 503
    (record,) = caplog.records
    assert record.getMessage() == "order not served"
    assert record.kind == "ReadDocuments"


class FollowerRouter:
    """Knows the leader."""

    def ask(self, controller, message, timeout):
        return Err(
            NotLeaderError(
                "not the leader",
                step="propose",
                peer="10.4.0.80",
                contact={"role": "learner", "leader_age_s": 0.3},
            )
        )


def test_redirection_to_the_leader_is_not_logged_as_a_failure(caplog):
    caplog.set_level(logging.INFO, "wasabitray")
    app = falcon.App()
    app.add_route(CONFIG_PATH, ConfigResource(FollowerRouter(), 8382))
    response = falcon.testing.TestClient(app).simulate_get(CONFIG_PATH)
    assert response.status_code == 307
    assert response.headers["location"] == "http://10.4.0.80:8382/-/config"
    (record,) = caplog.records
    assert record.getMessage() == "order redirected"
    assert record.leader == "10.4.0.80"
    assert record.role == "learner"
    assert record.leader_age_s == 0.3
