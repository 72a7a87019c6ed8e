"""The HTTP resource with which operators send configurations."""

import falcon
import falcon.testing
import pytest

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
