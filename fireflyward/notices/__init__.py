"""Notices of replicas in their answers, which nodes announce to each other."""

from ._task import NoticeTask

__all__ = ["NoticeTask"]
