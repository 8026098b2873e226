"""The KV calls of an engine: stat, read over the limited link, import, export."""

import typing

import msgspec

from cornelreach.http import client as client_module, messages
from standins import httpcommon, kvcache, linkmodel

PULL_WAIT_MS = 10_000


class Host(typing.Protocol):
    """The engine whose blocks are served."""

    model: typing.Any
    timers: httpcommon.ScaledTimers


class Blocks:
    """Serves and moves the blocks of one engine."""

    def __init__(
        self, host: Host, link: linkmodel.Link, client: client_module.Client
    ) -> None:
        self.host = host
        self.link = link
        self.client = client
        self.partial = False

    def add_routes(self, routes: httpcommon.Routes) -> None:
        """Serve the calls under /v1/kv."""
        routes.add("POST", "/v1/kv/import", self.pull)
        routes.add("POST", "/v1/kv/commit", self.commit)
        routes.add("POST", "/v1/kv/export", self.export)
        routes.add("POST", "/v1/kv/stat", self.stats)
        routes.add("GET", "/v1/kv/([^/]+)/data", self.data)
        routes.add("GET", "/v1/kv/([^/]+)", self.stat)

    def _bytes(self, block: kvcache.Block) -> bytes:
        size = block.tokens * self.host.model.settings.bytes_per_token
        return kvcache.content(block.key, size)

    def _stat(self, block: kvcache.Block) -> dict[str, typing.Any]:
        data = self._bytes(block)
        return {
            "key": block.key,
            "generation": block.generation,
            "checksum": kvcache.checksum(data),
            "committed": block.committed,
            "bytes": len(data),
            "tier": "accelerator",
        }

    async def stat(self, request: messages.Request, key: str) -> messages.Response:
        """Answer generation, checksum and size of a block."""
        block = self.host.model.cache.blocks.get(key)
        if block is None:
            return httpcommon.failure(404, "not_found", key)
        return messages.json_response(200, self._stat(block))

    async def stats(self, request: messages.Request) -> messages.Response:
        """Answer the stats of several blocks; those not held are left out."""
        blocks = self.host.model.cache.blocks
        keys = httpcommon.body(request)["keys"]
        listed = [self._stat(blocks[key]) for key in keys if key in blocks]
        return messages.json_response(200, {"blocks": listed})

    async def data(self, request: messages.Request, key: str) -> messages.Response:
        """Answer the bytes; half of them under the partial write fault."""
        block = self.host.model.cache.blocks.get(key)
        if block is None:
            return httpcommon.failure(404, "not_found", key)
        data = self._bytes(block)
        await self.host.timers.sleep(self.link.reserve(len(data)))
        return messages.Response(200, data[: len(data) // 2] if self.partial else data)

    async def pull(self, request: messages.Request) -> messages.Response:
        """Import blocks from a source into staging; a bad checksum fails a block.

        The leading ones that the engine has already are kept for it, and not read.
        """
        order = httpcommon.body(request)
        source = client_module.parse_address(order["source"])
        wanted = {block["key"]: block["checksum"] for block in order["blocks"]}
        held = self.host.model.hold(list(wanted))
        tokens = {block.key: block.tokens for block in held}
        failed = []
        try:
            for key in list(wanted)[len(held) :]:
                data = await self._fetch(source, key)
                if data is None or kvcache.checksum(data) != wanted[key]:
                    failed.append(key)
                else:
                    tokens[key] = len(data) // self.host.model.settings.bytes_per_token
        except BaseException:
            self.host.model.let_go(held)
            raise
        name = self.host.model.stage(tokens, held)
        staged = [{"key": key, "checksum": wanted[key]} for key in tokens]
        value = {"import": name, "staged": staged, "failed": failed}
        return messages.json_response(200, value)

    async def _fetch(self, source: client_module.Address, key: str) -> bytes | None:
        try:
            status, data, _ = await self.client.call(
                source, "GET", f"/v1/kv/{key}/data", wait_ms=PULL_WAIT_MS
            )
        except (client_module.RequestNotSent, client_module.ResponseLost):
            return None
        return data if status == 200 else None

    async def commit(self, request: messages.Request) -> messages.Response:
        """Make staged blocks readable."""
        order = httpcommon.body(request)
        kept = self.host.model.commit(order["import"], order["keys"])
        return messages.json_response(200, {"committed": kept})

    async def export(self, request: messages.Request) -> messages.Response:
        """Push blocks to a store: the bytes, then the commit of each."""
        order = httpcommon.body(request)
        address = client_module.parse_address(order["destination"])
        exported, failed = [], []
        for key in order["keys"]:
            done = await self._push(address, key)
            (exported if done else failed).append(key)
        value = {"exported": exported, "failed": failed}
        return messages.json_response(200, value)

    async def _push(self, address: client_module.Address, key: str) -> bool:
        block = self.host.model.cache.blocks.get(key)
        if block is None:
            return False
        generation, data = block.generation, self._bytes(block)
        await self.host.timers.sleep(self.link.reserve(len(data)))
        seal = msgspec.json.encode({"checksum": kvcache.checksum(data)})
        sent = data[: len(data) // 2] if self.partial else data
        try:
            status, _, _ = await self.client.call(
                address, "PUT", f"/v1/kv/{key}", sent, wait_ms=PULL_WAIT_MS
            )
            if status != 200 or not self._unmoved(key, generation):
                return False
            status, _, _ = await self.client.call(
                address, "POST", f"/v1/kv/{key}/commit", seal, wait_ms=PULL_WAIT_MS
            )
        except (client_module.RequestNotSent, client_module.ResponseLost):
            return False
        return status == 200

    def _unmoved(self, key: str, generation: int) -> bool:
        block = self.host.model.cache.blocks.get(key)
        return block is not None and block.generation == generation
