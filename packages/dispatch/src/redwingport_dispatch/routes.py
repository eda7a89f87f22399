"""Lookup of the queue of a request."""

from collections.abc import Iterable

from redwingport_dispatch.interfaces import Route


class RouteTable:
    """Find the queue of a request by host and longest matching path prefix.

    :param routes: all queues.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the queue of a request, or None when no queue matches.

        :param host: the ``Host`` header; its port is ignored.
        """
        name = host.lower()
        routes = self._routes_by_host.get(name)
        if routes is None:
            routes = self._routes_by_host.get(name.partition(":")[0], [])
        return next((route for route in routes if path.startswith(route.path_prefix)), None)
