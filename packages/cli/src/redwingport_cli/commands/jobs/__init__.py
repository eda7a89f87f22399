"""Commands about jobs."""

from redwingport_cli.commands.base import CommandGroup
from redwingport_cli.commands.jobs.list_jobs import ListJobs

JOBS = CommandGroup("jobs", "show jobs", (ListJobs(),))
