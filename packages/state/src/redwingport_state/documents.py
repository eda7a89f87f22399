"""In-memory store of the service documents in force."""

from redwingport_messages.documents import ServiceDocument, StoredDocument


class DocumentStore:
    """Keep the highest received revision of each service document.

    :ivar stored_by_name: highest received revision by name of the service, deleted services
        included.
    :ivar from_platform: whether the documents are known to originate from the platform, directly
        or through a peer; until then an unknown name is no proof that there is no such service.
    """

    def __init__(self) -> None:
        self.stored_by_name: dict[str, StoredDocument] = {}
        self.from_platform = False

    def offer(self, stored: StoredDocument) -> bool:
        """Store a revision if it is higher than the one in force.

        :param stored: the received revision.
        :returns: whether the revision has come into force by this call.
        """
        current = self.stored_by_name.get(stored.name)
        if current is not None and current.revision >= stored.revision:
            return False
        self.stored_by_name[stored.name] = stored
        return True

    def get(self, name: str) -> ServiceDocument | None:
        """Return the document in force, or None if the service is unknown or deleted."""
        stored = self.stored_by_name.get(name)
        if stored is None or stored.document.deleted:
            return None
        return stored.document

    def revision(self, name: str) -> int:
        """Return the revision in force, or 0 if there is none."""
        stored = self.stored_by_name.get(name)
        return 0 if stored is None else stored.revision

    def live(self) -> list[StoredDocument]:
        """Return the documents of services that are not deleted, sorted by name."""
        rows = sorted(self.stored_by_name.items())
        return [stored for _, stored in rows if not stored.document.deleted]
