"""VM list of the platform."""

from enum import StrEnum
from ipaddress import ip_address
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from redwingport_messages.documents import Name


class VmKind(StrEnum):
    """Role of a VM."""

    ENTRY = "entry"
    WORKER = "worker"
    EXECUTOR = "executor"


def _require_ip(value: str) -> str:
    ip_address(value)
    return value


IpAddress = Annotated[str, AfterValidator(_require_ip)]


class VmInfo(BaseModel):
    """Entry of one VM in the VM list of the platform.

    :param vm: name of the VM.
    :param kind: role of the VM.
    :param domain: failure domain of the VM.
    :param region: region of the VM.
    :param host: IP address.
    :param port: HTTP port.
    :param peer_port: port for connections from peers; entry VMs only.
    :param weight: relative size of an entry VM.
    :param service: service of an executor.
    :param rack: rack of a worker.
    :param slots: number of tasks that run concurrently; backend servers only.
    :param cpus: number of processors of a worker.
    :param memory_mb: memory of a worker, in megabytes.
    :param max_connections: maximum number of connections that a backend server accepts.
    :param leaving: whether the VM is about to shut down.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, allow_inf_nan=False)

    vm: Name
    kind: VmKind
    domain: Name
    region: Name = "region"
    host: IpAddress
    port: int = Field(ge=1, le=65535)
    peer_port: int = Field(default=0, ge=0, le=65535)
    weight: float = Field(default=1.0, gt=0)
    service: str = ""
    rack: str = ""
    slots: int = Field(default=0, ge=0, le=10_000)
    cpus: float = 0.0
    memory_mb: float = 0.0
    max_connections: int = Field(default=60, ge=1)
    leaving: bool = False


class VmList(BaseModel):
    """The VM list of the platform.

    :param version: version number, increased by every change of the list.
    :param vms: listed VMs.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    version: int = Field(ge=0)
    vms: tuple[VmInfo, ...] = ()
