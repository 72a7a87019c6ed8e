"""Identifiers that the packages share."""

from typing import NewType

HostId = NewType("HostId", str)
"""A host of the fleet, in the role entry or control."""

MemberId = NewType("MemberId", str)
"""One life of a control host's disk; a replaced disk gets a new one."""

TargetId = NewType("TargetId", str)
"""A back end instance, named by its `address:port`."""

ServiceName = NewType("ServiceName", str)
OrganisationName = NewType("OrganisationName", str)
TemplateName = NewType("TemplateName", str)
RegionName = NewType("RegionName", str)
FailureDomainName = NewType("FailureDomainName", str)

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
Fingerprint = NewType("Fingerprint", str)
Seconds = NewType("Seconds", float)
"""A monotonic time or a duration, never the wall clock."""
