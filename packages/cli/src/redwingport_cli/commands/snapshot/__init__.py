"""Commands about snapshots of all service documents."""

from redwingport_cli.commands.base import CommandGroup
from redwingport_cli.commands.snapshot.diff import DiffSnapshot
from redwingport_cli.commands.snapshot.save import SaveSnapshot

SNAPSHOT = CommandGroup(
    "snapshot",
    "save all service documents and compare with what is in force",
    (SaveSnapshot(), DiffSnapshot()),
)
