"""Types of names, identifiers and numbers, shared by all packages."""

import typing

__all__ = [
    "FailureDomain",
    "KindName",
    "MemberName",
    "Offset",
    "RackName",
    "Region",
    "RequestId",
    "TaskId",
    "TeamName",
    "Term",
    "WorkerName",
]

FailureDomain = typing.NewType("FailureDomain", str)
KindName = typing.NewType("KindName", str)
MemberName = typing.NewType("MemberName", str)
Offset = typing.NewType("Offset", int)
RackName = typing.NewType("RackName", str)
Region = typing.NewType("Region", str)
RequestId = typing.NewType("RequestId", str)
TaskId = typing.NewType("TaskId", str)
TeamName = typing.NewType("TeamName", str)
Term = typing.NewType("Term", int)
WorkerName = typing.NewType("WorkerName", str)
