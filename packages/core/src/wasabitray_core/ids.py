"""Identifiers that the packages share."""

from typing import NewType

HostId = NewType("HostId", str)
"""A host of the fleet, in the role entry or control."""

MemberId = NewType("MemberId", str)
"""One life of a control host's disk; a replaced disk gets a new one."""

TargetId = NewType("TargetId", str)
"""A back end instance, named by itself or else by its `address:port`."""

ServiceName = NewType("ServiceName", str)
OrganisationName = NewType("OrganisationName", str)
TemplateName = NewType("TemplateName", str)
RegionName = NewType("RegionName", str)
FailureDomainName = NewType("FailureDomainName", str)

RouteName = NewType("RouteName", str)
AuthorityName = NewType("AuthorityName", str)
"""Host name that a request is addressed to, and its port if given."""

ConfigVersion = NewType("ConfigVersion", int)
"""The operator's own number of a whole configuration."""

FeedPosition = NewType("FeedPosition", int)
"""Place of an item in a hub's feed; the first is 1."""

Revision = NewType("Revision", int)
"""Position of an accepted configuration change; the first is 1."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
ChangeId = NewType("ChangeId", str)

ClaimKey = NewType("ClaimKey", str)
"""What a claim excludes others from, such as one idempotency key."""

ClaimId = NewType("ClaimId", str)
Incarnation = NewType("Incarnation", str)
"""One run of a process; a restart gets a new one."""

RequestId = NewType("RequestId", int)
CallerRequestId = NewType("CallerRequestId", str)
"""A request's id as its caller chose it, or one made for it here."""

Fingerprint = NewType("Fingerprint", str)
Seconds = NewType("Seconds", float)
"""A monotonic time or a duration, never the wall clock."""
