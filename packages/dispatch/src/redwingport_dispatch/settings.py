"""Settings of a process: an INI file that is validated as a whole."""

import configparser
import os
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from redwingport_messages.addresses import require_address

Address = Annotated[str, AfterValidator(require_address)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ProcessSettings(_Section):
    """Identify the process and its VM.

    :param vm: name of this VM.
    :param domain: failure domain of this VM.
    :param region: region of this VM.
    :param cores: speed of a core of this VM, as a multiple of the platform's standard core.
    :param core_share: fraction of a core that this process may use.
    """

    vm: str = Field(min_length=1)
    domain: str = Field(min_length=1)
    region: str = ""
    cores: float = Field(gt=0, le=1000, default=1.0)
    core_share: float = Field(gt=0, le=1000, default=1.0)


class ListenSettings(_Section):
    """Addresses on which the process listens.

    :param front: IP:PORT for clients.
    :param ready: IP:PORT for the platform's readiness check.
    :param peers: IP:PORT for the other processes.
    :param metrics: IP:PORT for metrics.
    """

    front: Address
    ready: Address
    peers: Address
    metrics: Address


class StoreSettings(_Section):
    """Address of the platform's store.

    :param address: IP:PORT.
    """

    address: Address


class BoundSettings(_Section):
    """Limits and factors of the platform that scheduling and shutdown rely on.

    :param lease_ms: maximum duration that a backend server allows for a lease, in milliseconds.
    :param stop_ms: maximum time that a backend server takes to stop a run, in milliseconds.
    :param grace_s: time between SIGTERM and SIGKILL, in seconds.
    :param far_factor: factor by which a task takes longer outside the rack of its data.
    """

    lease_ms: int = Field(ge=100, le=60_000)
    stop_ms: int = Field(ge=0, le=10_000)
    grace_s: float = Field(gt=0, le=86_400)
    far_factor: float = Field(ge=1, le=1000, default=1.0)

    @property
    def lease_s(self) -> float:
        """Return the maximum lease, in seconds."""
        return self.lease_ms / 1000

    @property
    def stop_s(self) -> float:
        """Return the maximum time to stop a run, in seconds."""
        return self.stop_ms / 1000


class LogSettings(_Section):
    """Limits of the log.

    :param level: minimum level of log lines.
    :param lines_per_second: maximum lines per second; further lines below warning are dropped and
        counted.
    """

    level: str = Field(pattern="^(debug|info|warning|error)$", default="info")
    lines_per_second: int = Field(ge=1, default=1000)


class Settings(BaseModel):
    """Hold all settings of a process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    process: ProcessSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    log: LogSettings = LogSettings()


def load_settings(path: str | os.PathLike[str]) -> Result[Settings, tuple[str, ...]]:
    """Read and validate a settings file.

    :param path: path of the INI file.
    :returns: the settings, or one line for each error.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), str(path))
    except (configparser.Error, OSError, UnicodeDecodeError) as error:
        return Err((f"{path}: {type(error).__name__}: {error}",))
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Ok(Settings.model_validate(sections))
    except ValidationError as error:
        return Err(
            tuple(
                f"[{item['loc'][0]}] {'.'.join(map(str, item['loc'][1:]))}: {item['msg']}"
                for item in error.errors(include_url=False)
            )
        )
