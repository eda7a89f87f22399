"""Commands of the command line; each has a module of its own."""

from redwingport_cli.commands.base import Command, CommandGroup
from redwingport_cli.commands.cancel import Cancel
from redwingport_cli.commands.check_settings import CheckSettings
from redwingport_cli.commands.drain import Drain
from redwingport_cli.commands.entries import Entries
from redwingport_cli.commands.explain import Explain
from redwingport_cli.commands.jobs import JOBS
from redwingport_cli.commands.overlaps import Overlaps
from redwingport_cli.commands.request import SendRequest
from redwingport_cli.commands.servers import Servers
from redwingport_cli.commands.services import SERVICES
from redwingport_cli.commands.settings_reference import SettingsReference
from redwingport_cli.commands.show import Show
from redwingport_cli.commands.submit import Submit

COMMANDS: tuple[Command | CommandGroup, ...] = (
    Submit(),
    SendRequest(),
    Show(),
    Cancel(),
    SERVICES,
    JOBS,
    Servers(),
    Entries(),
    Drain(),
    Explain(),
    Overlaps(),
    CheckSettings(),
    SettingsReference(),
)
