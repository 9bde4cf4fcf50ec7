"""Finds the queue that a call is for, and the client account of its key."""

from dataclasses import dataclass, field

from dandelionknot.jobs._generated import JobConfiguration, Queue

# Client account of jobs that are submitted without a valid key to a queue that is open
# to all.
NO_ACCOUNT = ''


@dataclass(slots=True)
class Admission:
    """Queues and keys of the current configuration version."""

    version: int = -1
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    queues_by_host: dict[str, list[Queue]] = field(default_factory=dict)
    accounts_by_key: dict[str, str] = field(default_factory=dict)

    def set_configuration(self, configuration: JobConfiguration) -> None:
        """Applies a version of the configuration if it is newer."""
        if configuration.version <= self.version:
            return
        self.version = configuration.version
        self.queues_by_name = {queue.name: queue for queue in configuration.queues}
        self.queues_by_host = {}
        for queue in sorted(
            configuration.queues, key=lambda q: len(q.path_prefix), reverse=True
        ):
            self.queues_by_host.setdefault(queue.host, []).append(queue)
        self.accounts_by_key = {
            key: account.name
            for account in configuration.client_accounts
            for key in account.keys
        }

    def find_queue(self, host: str, path: str) -> tuple[str, str] | None:
        """Returns the name of the queue for a path, and the rest of the path.

        The queue is the one whose `path_prefix` is the longest that the path begins
        with.

        For the queue at `/quotes/`, `/quotes/00ff` gives `('quotes', '00ff')`.
        """
        path = path.split('?', 1)[0]
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue.name, path[len(queue.path_prefix) :]
        return None

    def queue(self, name: str) -> Queue | None:
        """Returns a queue by name."""
        return self.queues_by_name.get(name)

    def account_for(self, queue: Queue, key: str) -> str | None:
        """Returns the name of the client account of a call, or None for an invalid key.

        On a queue that is open to all, `NO_ACCOUNT` is returned for a call without a
        valid key.
        """
        account = self.accounts_by_key.get(key)
        if account is not None:
            return account
        return NO_ACCOUNT if queue.open_to_all else None
