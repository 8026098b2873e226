"""Crowds of clients that send requests ahead and read no response."""

import abc
import asyncio

STALLED_S = 2.0  # without a byte taken on any connection, the crowd has sent enough


class Crowd(abc.ABC):
    """Connections that send a block of requests again and again, and read nothing."""

    def __init__(self, address, block, connections):
        self.address = address
        self.block = block
        self.connections = connections
        self.sent_bytes = 0
        self.sockets = []

    async def send(self):
        """Send until all is sent, or until the process takes nothing more."""
        tasks = [
            asyncio.ensure_future(self.send_one()) for _ in range(self.connections)
        ]
        before_bytes = -1
        while self.sent_bytes > before_bytes and not all(t.done() for t in tasks):
            before_bytes = self.sent_bytes
            await asyncio.wait(tasks, timeout=STALLED_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @abc.abstractmethod
    async def send_one(self):
        """Send on one connection, and count what is taken."""

    def close(self):
        """Close all connections."""
        for client in self.sockets:
            client.close()
