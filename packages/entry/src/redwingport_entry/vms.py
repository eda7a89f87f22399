"""The VM list: polling the platform, and applying lists from it and from peers."""

import logging
from collections.abc import Callable

import anyio
from pydantic import ValidationError

from redwingport_entry.exceptions import PlatformError
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.platform import PlatformClient
from redwingport_entry.settings import PlatformSettings
from redwingport_messages.vms import VmList
from redwingport_state.membership import MembershipView

logger = logging.getLogger(ROOT)


class VmWatcher:
    """Keep the membership view up to date.

    :param platform: client of the platform.
    :param view: the membership view.
    :param settings: section ``[platform]``.
    :param on_change: called after the view has changed.
    :ivar platform_answers: whether the last read of the platform's list succeeded.
    """

    def __init__(
        self,
        platform: PlatformClient,
        view: MembershipView,
        settings: PlatformSettings,
        on_change: Callable[[], None],
    ) -> None:
        self.view = view
        self._platform = platform
        self._settings = settings
        self._on_change = on_change
        self.platform_answers = False

    async def poll(self) -> None:
        """Read the list from the platform on a timer."""
        while True:
            try:
                vm_list = await self._platform.read_vms()
                self.platform_answers = True
                if vm_list is not None:
                    self.apply_list(vm_list, "platform")
            except PlatformError as error:
                self.platform_answers = False
                log_event(logger, logging.WARNING, "poll-failed", error=str(error))
            await anyio.sleep(self._settings.list_poll_s)

    def apply_list(self, vm_list: VmList, source: str) -> bool:
        """Apply a list if it is newer than the current one.

        :param vm_list: the list.
        :param source: sender of the list, for the log.
        :returns: whether it was newer.
        """
        if not self.view.apply(vm_list):
            return False
        log_event(
            logger,
            logging.INFO,
            "vm-list",
            version=vm_list.version,
            vms=len(vm_list.vms),
            source=source,
        )
        self._on_change()
        return True

    def apply_list_text(self, text: str, source: str) -> bool:
        """Apply the JSON text of a list if it is newer; ignore an empty or invalid text.

        :param text: JSON text of the list, or an empty string.
        :param source: sender of the list, for the log.
        :returns: whether it was newer.
        """
        if not text:
            return False
        try:
            return self.apply_list(VmList.model_validate_json(text), source)
        except ValidationError as error:
            log_event(
                logger, logging.ERROR, "vm-list-invalid", source=source, errors=error.error_count()
            )
            return False
