"""Settings of the entry process, read from an INI file and validated as a whole."""

import configparser
import os
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    SecretStr,
    StringConstraints,
    ValidationError,
    model_validator,
)
from result import Err, Ok, Result

from redwingport_messages.addresses import require_address
from redwingport_messages.documents import Name
from redwingport_messages.vms import IpAddress
from redwingport_policy.backends import CHOOSER_BY_NAME

MIN_SECRET_CHARACTERS = 16
OPERATOR_PREFIX = "operator "


def _split(value: object) -> object:
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(",") if part.strip())
    return value


def _require_url(value: str) -> str:
    require_address(value.removeprefix("http://"))
    return value


CommaSeparated = Annotated[tuple[str, ...], BeforeValidator(_split)]
Addresses = Annotated[
    tuple[Annotated[str, AfterValidator(require_address)], ...], BeforeValidator(_split)
]
Url = Annotated[
    str,
    StringConstraints(pattern=r"^http://[0-9.:\[\]a-f]+:[0-9]+$"),
    AfterValidator(_require_url),
]
Port = Annotated[int, Field(ge=1, le=65535)]
Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class EntrySettings(_Section):
    """Identity and addresses of this process.

    :param name: name of this VM, as the platform lists it.
    :param domain: failure domain of this VM.
    :param region: region of this VM.
    :param weight: capacity of this VM relative to the others.
    :param http_host: IP number on which callers and operators are served.
    :param http_port: port on which callers and operators are served.
    :param peer_host: IP number on which links from peers are accepted.
    :param peer_port: port on which links from peers are accepted.
    """

    name: Name
    domain: Name
    region: Name = "region"
    weight: float = Field(default=1.0, gt=0, le=1000)
    http_host: IpAddress
    http_port: Port
    peer_host: IpAddress
    peer_port: Port


class PlatformSettings(_Section):
    """Access to the platform.

    :param url: base address, ``http://IP:PORT``.
    :param poll_s: interval between reads of the document index, in seconds.
    :param list_poll_s: interval between reads of the VM list, in seconds.
    :param timeout_s: timeout of a request to the platform, in seconds.
    """

    url: Url
    poll_s: float = Field(default=5.0, gt=0, le=60)
    list_poll_s: float = Field(default=4.0, gt=0, le=60)
    timeout_s: float = Field(default=2.0, gt=0, le=60)


class PeerSettings(_Section):
    """Links to peers and their authentication.

    :param secret: secret shared by all entry processes.
    :param seeds: peer addresses ``IP:PORT`` to dial until a VM list is received.
    :param links_per_domain: number of links to each other failure domain.
    :param heartbeat_s: heartbeat interval within the failure domain, in seconds.
    :param remote_heartbeat_s: heartbeat interval between failure domains, in seconds.
    :param timeout_s: time without any message after which a link is closed, in seconds.
    :param tls_certificate: file with the certificate of this process; empty for no TLS.
    :param tls_key: file with its private key.
    :param tls_ca: file with the certificate of the authority that signed the peers' certificates.
    """

    secret: SecretStr = Field(min_length=MIN_SECRET_CHARACTERS)
    seeds: Addresses = ()
    links_per_domain: int = Field(default=2, ge=1, le=16)
    heartbeat_s: float = Field(default=2.0, gt=0, le=60)
    remote_heartbeat_s: float = Field(default=4.0, gt=0, le=60)
    timeout_s: float = Field(default=10.0, gt=0, le=300)
    tls_certificate: str = ""
    tls_key: str = ""
    tls_ca: str = ""

    @model_validator(mode="after")
    def _check_tls(self) -> "PeerSettings":
        files = (self.tls_certificate, self.tls_key, self.tls_ca)
        if any(files) and not all(files):
            raise ValueError("tls_certificate, tls_key and tls_ca must be set together")
        return self


class LimitSettings(_Section):
    """Limits of this process.

    :param max_body_bytes: largest request body accepted from a caller, in bytes.
    :param id_lifetime_s: how long a submission id is valid, in seconds.
    :param answer_bytes: maximum total size of stored answers, in bytes.
    :param subset_size: maximum number of workers, and of executors per service, used in the own
        failure domain, and again in all others together.
    :param queue_limit: maximum number of tasks queued in this process, and of requests queued per
        service.
    :param drain_notice_s: time from the report of draining until listening ends, in seconds.
    :param drain_timeout_s: longest wait for requests in progress at shutdown, in seconds.
    """

    max_body_bytes: int = Field(default=4 * 1024 * 1024, ge=1024, le=12 * 1024 * 1024)
    id_lifetime_s: float = Field(default=600.0, gt=0, le=86_400)
    answer_bytes: int = Field(default=16 * 1024 * 1024, ge=0)
    subset_size: int = Field(default=64, ge=1, le=10_000)
    queue_limit: int = Field(default=20_000, ge=1)
    drain_notice_s: float = Field(default=1.0, ge=0, le=60)
    drain_timeout_s: float = Field(default=120.0, ge=0, le=3600)


class PolicySettings(_Section):
    """Variants of the policy.

    :param chooser: policy of server choice, one of the names in ``redwingport_policy.backends``.
    :param seed: seed of random choices; 0 for a random seed.
    """

    chooser: str = "completion-time"
    seed: int = Field(default=0, ge=0)

    @model_validator(mode="after")
    def _check_chooser(self) -> "PolicySettings":
        if self.chooser not in CHOOSER_BY_NAME:
            raise ValueError(f"chooser must be one of {', '.join(sorted(CHOOSER_BY_NAME))}")
        return self


class LogSettings(_Section):
    """Content and destination of the log.

    :param format: format of a log line.
    :param level: lowest level that is logged.
    :param decisions: whether each routing and placement decision is logged.
    :param file: path of the log file; empty for standard error.
    """

    format: Literal["json", "keyvalue"] = "keyvalue"
    level: Literal["debug", "info", "warning", "error"] = "info"
    decisions: bool = True
    file: str = ""


class OperatorSettings(_Section):
    """Token and rights of one operator.

    :param token_sha256: SHA-256 of the operator's token, in hexadecimal digits.
    :param teams: teams whose documents the operator may change; ``*`` for all.
    """

    token_sha256: Sha256
    teams: CommaSeparated


class Settings(_Section):
    """All settings of an entry process.

    :param entry: section ``[entry]``.
    :param platform: section ``[platform]``.
    :param peers: section ``[peers]``.
    :param limits: section ``[limits]``.
    :param policy: section ``[policy]``.
    :param log: section ``[log]``.
    :param quotas: section ``[quotas]``: relative share of capacity by team.
    :param operators: sections ``[operator NAME]``, by name.
    """

    entry: EntrySettings
    platform: PlatformSettings
    peers: PeerSettings
    limits: LimitSettings = LimitSettings()
    policy: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
    quotas: dict[Name, Annotated[float, Field(gt=0, le=1e6)]] = Field(default_factory=dict)
    operators: dict[str, OperatorSettings] = Field(default_factory=dict)


def load_settings(path: str | os.PathLike[str]) -> Result[Settings, tuple[str, ...]]:
    """Read and validate a settings file.

    :param path: the INI file.
    :returns: the settings, or one line per error with the section, the key and what is allowed.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), str(path))
    except configparser.Error as error:
        return Err((f"{path}: {_syntax_error(error)}",))
    except OSError as error:
        return Err((f"{path}: {error.strerror}",))
    except UnicodeDecodeError as error:
        return Err((f"{path}: not UTF-8 at byte {error.start}",))
    return check_settings({name: dict(parser[name]) for name in parser.sections()})


def check_settings(sections: dict[str, dict[str, str]]) -> Result[Settings, tuple[str, ...]]:
    """Validate the sections of a settings file.

    :param sections: keys and values by section name.
    :returns: the settings, or one line per error.
    """
    unknown: tuple[str, ...] = ()
    if "operators" in sections:
        unknown = ("[operators]: unknown section; name operators as [operator NAME]",)
    plain = {
        name: section
        for name, section in sections.items()
        if name != "operators" and not name.startswith(OPERATOR_PREFIX)
    }
    operators = {
        name.removeprefix(OPERATOR_PREFIX): section
        for name, section in sections.items()
        if name.startswith(OPERATOR_PREFIX)
    }
    try:
        settings = Settings.model_validate({**plain, "operators": operators})
    except ValidationError as error:
        lines = tuple(_error_line(item) for item in error.errors(include_url=False))
        return Err(lines + unknown)
    return Err(unknown) if unknown else Ok(settings)


def _syntax_error(error: configparser.Error) -> str:
    """Describe a syntax error without the text of its line, which may contain a secret."""
    match error:
        case configparser.MissingSectionHeaderError():
            return f"line {error.lineno}: key outside a section"
        case configparser.ParsingError():
            numbers = ", ".join(str(number) for number, _ in error.errors)
            return f"line {numbers}: not KEY = VALUE"
        case configparser.DuplicateSectionError():
            return f"line {error.lineno}: section repeated"
        case configparser.DuplicateOptionError():
            return f"line {error.lineno}: key repeated"
    return "not an INI file"


def _error_line(item: object) -> str:
    """Describe one validation error without its input, which may be a secret."""
    assert isinstance(item, dict)
    place = [str(part) for part in item["loc"]]
    section = place[0]
    if section == "operators" and len(place) > 1:
        section = f"operator {place[1]}"
        place = place[1:]
    key = f" {place[1]}" if len(place) > 1 else ""
    message = str(item["msg"])
    if item["type"] == "extra_forbidden":
        message = "unknown key" if key else "unknown section"
    elif item["type"] == "missing":
        message = "missing key" if key else "missing section"
    return f"[{section}]{key}: {message}"
