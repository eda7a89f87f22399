"""Entries of the platform's list of VMs."""

from enum import StrEnum
from ipaddress import ip_address
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from redwingport_messages.documents import Name


class VmKind(StrEnum):
    """Name the roles a VM can have."""

    ENTRY = "entry"
    WORKER = "worker"
    EXECUTOR = "executor"


def _require_ip(value: str) -> str:
    ip_address(value)
    return value


IpAddress = Annotated[str, AfterValidator(_require_ip)]


class VmInfo(BaseModel):
    """Describe one VM as the platform lists it.

    :param vm: name of the VM.
    :param kind: its role.
    :param domain: its failure domain.
    :param region: its region.
    :param host: IP number.
    :param port: HTTP port.
    :param peer_port: port for peers; entry VMs only.
    :param weight: relative size of an entry VM.
    :param service: the service an executor belongs to.
    :param rack: rack of a worker.
    :param slots: tasks that run at once; backend servers only.
    :param cpus: processors of a worker.
    :param memory_mb: memory of a worker, in megabytes.
    :param max_connections: connections a backend server accepts.
    :param leaving: whether the VM is about to go.
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
    """Hold the platform's list of VMs.

    :param version: number that grows with every change of the list.
    :param vms: the VMs.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    version: int = Field(ge=0)
    vms: tuple[VmInfo, ...] = ()
