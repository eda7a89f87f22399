"""Submission ids, which contain the incarnation that issued them."""

import hashlib
import re
import secrets
from dataclasses import dataclass

from result import Err, Ok, Result

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,39}"
TAG_BYTES = 8
_SUBMISSION_ID = re.compile(
    rf"({NAME_PATTERN})\.({NAME_PATTERN})\.([0-9a-f]{{16}})\.([0-9]{{1,18}})\.([0-9a-f]{{16}})"
)


def new_incarnation() -> str:
    """Return a random incarnation id for a process start.

    :returns: 16 hexadecimal digits (64 random bits).
    """
    return secrets.token_hex(8)


@dataclass(frozen=True, slots=True)
class SubmissionId:
    """Identify a submission and the only incarnation that may start its tasks.

    :param domain: failure domain of the issuing VM.
    :param vm: name of the issuing VM.
    :param incarnation: issuing incarnation.
    :param counter: sequence number within the incarnation, from 1.
    :param tag: keyed hash of the other fields, which makes ids unguessable.
    """

    domain: str
    vm: str
    incarnation: str
    counter: int
    tag: str

    def __str__(self) -> str:
        return f"{self.domain}.{self.vm}.{self.incarnation}.{self.counter}.{self.tag}"


def parse_submission_id(text: str) -> Result[SubmissionId, str]:
    """Parse a submission id.

    :param text: ``DOMAIN.VM.INCARNATION.COUNTER.TAG``.
    :returns: the id, or the reason why the text is invalid.
    """
    match = _SUBMISSION_ID.fullmatch(text)
    if match is None:
        return Err("not a submission id (DOMAIN.VM.INCARNATION.COUNTER.TAG)")
    domain, vm, incarnation, counter, tag = match.groups()
    return Ok(SubmissionId(domain, vm, incarnation, int(counter), tag))


class IdIssuer:
    """Issue the submission ids of one incarnation.

    :param domain: failure domain of this VM.
    :param vm: name of this VM.
    :param incarnation: id of this incarnation; random by default.
    """

    def __init__(self, domain: str, vm: str, incarnation: str | None = None) -> None:
        self.domain = domain
        self.vm = vm
        self.incarnation = incarnation or new_incarnation()
        self.counter = 0
        self._key = secrets.token_bytes(32)
        self._single_use_key = secrets.token_bytes(32)

    def issue(self, single_use: bool = False) -> SubmissionId:
        """Issue the next id.

        :param single_use: whether the submission cannot be resubmitted. The tags of such ids are
            computed with a key of their own, so that they are recognized without a record.
        """
        self.counter += 1
        key = self._single_use_key if single_use else self._key
        tag = self._tag(self.counter, key)
        return SubmissionId(self.domain, self.vm, self.incarnation, self.counter, tag)

    def issued(self, submission_id: SubmissionId) -> bool:
        """Return whether this incarnation has issued the id, for either kind of submission."""
        return self._has_tag(submission_id, self._key) or self.is_single_use(submission_id)

    def is_single_use(self, submission_id: SubmissionId) -> bool:
        """Return whether this incarnation has issued the id for a single-use submission."""
        return self._has_tag(submission_id, self._single_use_key)

    def _has_tag(self, submission_id: SubmissionId, key: bytes) -> bool:
        return (
            submission_id.incarnation == self.incarnation
            and 1 <= submission_id.counter <= self.counter
            and secrets.compare_digest(submission_id.tag, self._tag(submission_id.counter, key))
        )

    def _tag(self, counter: int, key: bytes) -> str:
        text = f"{self.domain}.{self.vm}.{self.incarnation}.{counter}"
        return hashlib.blake2b(text.encode(), key=key, digest_size=TAG_BYTES).hexdigest()
