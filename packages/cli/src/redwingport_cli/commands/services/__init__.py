"""Commands about service documents."""

from redwingport_cli.commands.base import CommandGroup
from redwingport_cli.commands.services.create import CreateService
from redwingport_cli.commands.services.delete import DeleteService
from redwingport_cli.commands.services.edit_field import EditField
from redwingport_cli.commands.services.get import GetService
from redwingport_cli.commands.services.list_services import ListServices
from redwingport_cli.commands.services.put import PutService
from redwingport_cli.commands.services.status import ServiceStatus

SERVICES = CommandGroup(
    "services",
    "read and change service documents",
    (
        ListServices(),
        GetService(),
        CreateService(),
        PutService(),
        EditField(),
        DeleteService(),
        ServiceStatus(),
    ),
)
