"""The native interface on which targets announce themselves."""

from __future__ import annotations

import falcon
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wasabitray_core.documents import NAME_PATTERN, describe_problems
from wasabitray_core.ids import (
    FailureDomainName,
    RegionName,
    ServiceName,
    TargetId,
)
from wasabitray_core.local_messages import ControllerName
from wasabitray_core.messages import Announcement
from wasabitray_core.states import TargetPhase
from wasabitray_node.http import build_bad_request, read_body
from wasabitray_node.settings import Address
from wasabitray_node.tasks import Router

ANNOUNCEMENTS_PATH = "/v1/announcements"
MAX_BODY_BYTES = 65_536


class AnnouncementBody(BaseModel):
    """The body of an announcement, which a target repeats within its lease.

    Attributes:
        generation: identifies the start of the target's process, such as a
            time in milliseconds; a restarted target sends a higher one.
        sequence: increases with each announcement.
        leaving: whether the target wants no new requests; this is final.
    """

    model_config = ConfigDict(extra="forbid")

    address: Address
    service: str = Field(pattern=NAME_PATTERN)
    region: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    slots: int = Field(ge=1, le=100_000)
    generation: int = Field(ge=0, lt=2**63)
    sequence: int = Field(ge=0, lt=2**63)
    lease_s: float = Field(gt=0, le=3_600)
    leaving: bool = False


class AnnouncementsResource:
    """Accepts announcements and sends them to the targets controller."""

    def __init__(self, router: Router) -> None:
        """Initialise with the router to the controllers."""
        self._router = router

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Handle one announcement."""
        try:
            body = AnnouncementBody.model_validate_json(
                read_body(req, MAX_BODY_BYTES)
            )
        except ValidationError as error:
            raise build_bad_request(
                describe_problems(error, "announcement")
            ) from None
        phase = TargetPhase.LEAVING if body.leaving else TargetPhase.ACTIVE
        announcement = Announcement(
            TargetId(body.address),
            ServiceName(body.service),
            RegionName(body.region),
            FailureDomainName(body.failure_domain),
            body.slots,
            body.generation,
            body.sequence,
            phase,
            body.lease_s,
        )
        is_new = self._router.ask(ControllerName.TARGETS, announcement)
        resp.media = {"accepted": is_new}


def build_targets_app(router: Router) -> falcon.App:
    """Return the WSGI application for targets."""
    app = falcon.App()
    app.add_route(ANNOUNCEMENTS_PATH, AnnouncementsResource(router))
    return app
