"""The service documents in force in one process."""

from redwingport_messages.documents import ServiceDocument, StoredDocument


class DocumentStore:
    """Hold the highest revision of each service document that was seen."""

    def __init__(self) -> None:
        self.stored_by_name: dict[str, StoredDocument] = {}
        self.from_platform = False

    def offer(self, stored: StoredDocument) -> bool:
        """Take a revision if it is higher than the one in force.

        :param stored: the revision that was received.
        :returns: whether it is now in force and was not before.
        """
        current = self.stored_by_name.get(stored.name)
        if current is not None and current.revision >= stored.revision:
            return False
        self.stored_by_name[stored.name] = stored
        return True

    def get(self, name: str) -> ServiceDocument | None:
        """Return the document in force, or None for an unknown or deleted service."""
        stored = self.stored_by_name.get(name)
        if stored is None or stored.document.deleted:
            return None
        return stored.document

    def revision(self, name: str) -> int:
        """Return the revision in force, 0 for none."""
        stored = self.stored_by_name.get(name)
        return 0 if stored is None else stored.revision

    def live(self) -> list[StoredDocument]:
        """Return the documents of services that are not deleted, by name."""
        rows = sorted(self.stored_by_name.items())
        return [stored for _, stored in rows if not stored.document.deleted]
