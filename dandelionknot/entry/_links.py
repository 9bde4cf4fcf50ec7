"""Runs one link task per backend server and passes orders to it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from dandelionknot._http_client import HttpClient, http_target
from dandelionknot._mailbox import Mailbox
from dandelionknot.context import Context
from dandelionknot.entry._backend_http import http_backend_port
from dandelionknot.entry._backend_link import run_backend_link
from dandelionknot.messages import (
    AttemptEnd,
    AttemptEnded,
    DrainOrder,
    FollowOrder,
    RebootOrder,
    RenewUntil,
    StartOrder,
    StopOrder,
    StopService,
    UpdateLinks,
)

LINK_MAILBOX_CAPACITY = 1000


@dataclass(slots=True)
class _OpenLink:
    """Address and mailbox of a running link task."""

    address: str
    mailbox: Mailbox


@dataclass(slots=True)
class _Links:
    """Open links by host, and the latest list of addresses for new links."""

    update: UpdateLinks
    open_by_host: dict[str, _OpenLink] = field(default_factory=dict)


async def run_links(
    context: Context,
    mailbox: Mailbox,
    dispatcher: Mailbox,
    client: HttpClient,
) -> None:
    """Passes each order to the link of its host.

    A link is opened at its first order; links to the hosts that `UpdateLinks` lists
    as polled are opened at once.
    """
    links = _Links(UpdateLinks(addresses_by_host={}, lease_ms=1, token_ms=1))
    async with asyncio.TaskGroup() as group:

        def open_link(host_id: str, address: str) -> _OpenLink:
            link = _OpenLink(address, Mailbox(LINK_MAILBOX_CAPACITY))
            links.open_by_host[host_id] = link
            group.create_task(
                run_backend_link(
                    host_id,
                    http_backend_port(http_target(context.settings, client, address)),
                    link.mailbox,
                    dispatcher,
                    links.update.lease_ms,
                    links.update.token_ms,
                    host_id in links.update.polled_hosts,
                    context.random,
                )
            )
            return link

        while True:
            message = await mailbox.receive()
            if isinstance(message, UpdateLinks):
                _update(links, message, open_link)
            elif isinstance(message, RenewUntil):
                for link in links.open_by_host.values():
                    link.mailbox.send(message)
            else:
                await _pass_order(links, message, dispatcher, open_link)


def _update(
    links: _Links, message: UpdateLinks, open_link: Callable[[str, str], _OpenLink]
) -> None:
    links.update = message
    _close_removed(links)
    for host_id in message.polled_hosts:
        if host_id not in links.open_by_host:
            open_link(host_id, message.addresses_by_host[host_id])


def _close_removed(links: _Links) -> None:
    """Closes links to removed hosts; each ends after its running tasks."""
    for host_id in list(links.open_by_host):
        link = links.open_by_host[host_id]
        if links.update.addresses_by_host.get(host_id) != link.address:
            link.mailbox.send(StopService(reason='the host was removed'))
            del links.open_by_host[host_id]


async def _pass_order(
    links: _Links,
    order: StartOrder | StopOrder | FollowOrder | DrainOrder | RebootOrder,
    dispatcher: Mailbox,
    open_link: Callable[[str, str], _OpenLink],
) -> None:
    """Passes an order to the link of its host, opening the link if necessary.

    The dispatcher receives the end of an attempt whose order cannot be passed.
    """
    host_id = order.host_id
    link = links.open_by_host.get(host_id)
    address = links.update.addresses_by_host.get(host_id)
    if link is None and address is not None:
        link = open_link(host_id, address)
    if link is not None and not isinstance(link.mailbox.send(order), Err):
        return
    if isinstance(order, FollowOrder):
        await dispatcher.deliver(
            AttemptEnded(
                request_id=order.request_id,
                attempt=order.attempt,
                host_id=host_id,
                end=AttemptEnd.NO_ANSWER,
                message='the host is no longer configured, or its link is overloaded',
            )
        )
    if isinstance(order, StartOrder):
        await dispatcher.deliver(
            AttemptEnded(
                request_id=order.task.request_id,
                attempt=order.task.attempt,
                host_id=host_id,
                end=AttemptEnd.NOT_SENT,
                message='the host is not configured, or its link is overloaded',
            )
        )
