"""Keeps one link task for each backend server and passes orders to it."""

import asyncio
from dataclasses import dataclass

from result import Err
from tornado.curl_httpclient import CurlAsyncHTTPClient

from dandelionknot._backend_http import http_backend_port
from dandelionknot._backend_link import run_backend_link
from dandelionknot._http_client import http_target
from dandelionknot._mailbox import Mailbox
from dandelionknot.context import Context
from dandelionknot.messages import (
    AttemptEnd,
    AttemptEnded,
    StartOrder,
    StopOrder,
    StopService,
    UpdateLinks,
)

LINK_MAILBOX_CAPACITY = 1000
USAGE_INTERVAL_MS = 2000


@dataclass(slots=True)
class _OpenLink:
    address: str
    mailbox: Mailbox


async def run_links(
    context: Context,
    mailbox: Mailbox,
    dispatcher: Mailbox,
    client: CurlAsyncHTTPClient,
) -> None:
    """Opens and closes links as told and passes start and stop orders to them."""
    links_by_host: dict[str, _OpenLink] = {}
    async with asyncio.TaskGroup() as group:
        while True:
            message = await mailbox.receive()
            if isinstance(message, UpdateLinks):
                _close_removed(links_by_host, message)
                for host_id, address in message.addresses_by_host.items():
                    if host_id in links_by_host:
                        continue
                    link: Mailbox = Mailbox(LINK_MAILBOX_CAPACITY)
                    links_by_host[host_id] = _OpenLink(address, link)
                    target = http_target(context.settings, client, address)
                    group.create_task(
                        run_backend_link(
                            host_id,
                            http_backend_port(target),
                            link,
                            dispatcher,
                            message.lease_ms,
                            message.token_ms,
                            USAGE_INTERVAL_MS,
                            context.random,
                        )
                    )
                continue
            await _pass_order(links_by_host, message, dispatcher)


def _close_removed(links_by_host: dict[str, _OpenLink], update: UpdateLinks) -> None:
    """Lets links to removed hosts end once their tasks have ended."""
    for host_id in list(links_by_host):
        link = links_by_host[host_id]
        if update.addresses_by_host.get(host_id) != link.address:
            link.mailbox.send(StopService(reason='the host was removed'))
            del links_by_host[host_id]


async def _pass_order(
    links_by_host: dict[str, _OpenLink],
    order: StartOrder | StopOrder,
    dispatcher: Mailbox,
) -> None:
    link = links_by_host.get(order.host_id)
    if link is not None and not isinstance(link.mailbox.send(order), Err):
        return
    if isinstance(order, StartOrder):
        await dispatcher.deliver(
            AttemptEnded(
                request_id=order.task.request_id,
                attempt=order.task.attempt,
                host_id=order.host_id,
                end=AttemptEnd.NOT_SENT,
                message='there is no link to the host',
            )
        )
