"""The KV block API of an engine: stat, read over the limited link, import, export."""

import typing

import msgspec

from cornelreach.http import client as client_module, messages
from standins import httpcommon, kvcache, linkmodel

TRANSFER_TIMEOUT_MS = 10_000


class HttpEngine(typing.Protocol):
    """The engine whose blocks the API serves."""

    model: typing.Any
    timers: httpcommon.ScaledTimers


class BlockApi:
    """Serves and transfers the blocks of one engine."""

    def __init__(
        self, engine: HttpEngine, link: linkmodel.Link, client: client_module.Client
    ) -> None:
        self.engine = engine
        self.link = link
        self.client = client
        self.partial_writes = False

    def add_routes(self, routes: httpcommon.Routes) -> None:
        """Add the routes under /v1/kv."""
        routes.add("POST", "/v1/kv/import", self.import_blocks)
        routes.add("POST", "/v1/kv/commit", self.commit)
        routes.add("POST", "/v1/kv/export", self.export)
        routes.add("POST", "/v1/kv/stat", self.stats)
        routes.add("GET", "/v1/kv/([^/]+)/data", self.data)
        routes.add("GET", "/v1/kv/([^/]+)", self.stat)

    def _block_bytes(self, block: kvcache.Block) -> bytes:
        size = block.tokens * self.engine.model.settings.bytes_per_token
        return kvcache.content(block.key, size)

    def _stat(self, block: kvcache.Block) -> dict[str, typing.Any]:
        data = self._block_bytes(block)
        return {
            "key": block.key,
            "generation": block.generation,
            "checksum": kvcache.checksum(data),
            "committed": block.committed,
            "bytes": len(data),
            "tier": "accelerator",
        }

    async def stat(self, request: messages.Request, key: str) -> messages.Response:
        """Return generation, checksum and size of a block."""
        block = self.engine.model.cache.blocks.get(key)
        if block is None:
            return httpcommon.failure(404, "not_found", key)
        return messages.json_response(200, self._stat(block))

    async def stats(self, request: messages.Request) -> messages.Response:
        """Return the stats of several blocks, without those that are not cached."""
        blocks = self.engine.model.cache.blocks
        keys = httpcommon.body(request)["keys"]
        listed = [self._stat(blocks[key]) for key in keys if key in blocks]
        return messages.json_response(200, {"blocks": listed})

    async def data(self, request: messages.Request, key: str) -> messages.Response:
        """Return the bytes of a block, or half of them with ``partial_writes``."""
        block = self.engine.model.cache.blocks.get(key)
        if block is None:
            return httpcommon.failure(404, "not_found", key)
        data = self._block_bytes(block)
        await self.engine.timers.sleep(self.link.reserve(len(data)))
        return messages.Response(
            200, data[: len(data) // 2] if self.partial_writes else data
        )

    async def import_blocks(self, request: messages.Request) -> messages.Response:
        """Import blocks from a source into staging; a wrong checksum fails a block.

        Leading blocks that the engine already has are pinned and not transferred.
        """
        body = httpcommon.body(request)
        source = client_module.parse_address(body["source"])
        checksums = {block["key"]: block["checksum"] for block in body["blocks"]}
        pinned = self.engine.model.pin_prefix(list(checksums))
        tokens = {block.key: block.tokens for block in pinned}
        failed = []
        try:
            for key in list(checksums)[len(pinned) :]:
                data = await self._fetch(source, key)
                if data is None or kvcache.checksum(data) != checksums[key]:
                    failed.append(key)
                else:
                    tokens[key] = (
                        len(data) // self.engine.model.settings.bytes_per_token
                    )
        except BaseException:
            self.engine.model.unpin(pinned)
            raise
        name = self.engine.model.stage(tokens, pinned)
        staged = [{"key": key, "checksum": checksums[key]} for key in tokens]
        value = {"import": name, "staged": staged, "failed": failed}
        return messages.json_response(200, value)

    async def _fetch(self, source: client_module.Address, key: str) -> bytes | None:
        try:
            status, data, _ = await self.client.call(
                source, "GET", f"/v1/kv/{key}/data", wait_ms=TRANSFER_TIMEOUT_MS
            )
        except (client_module.RequestNotSent, client_module.ResponseLost):
            return None
        return data if status == 200 else None

    async def commit(self, request: messages.Request) -> messages.Response:
        """Make staged blocks readable."""
        body = httpcommon.body(request)
        committed = self.engine.model.commit(body["import"], body["keys"])
        return messages.json_response(200, {"committed": committed})

    async def export(self, request: messages.Request) -> messages.Response:
        """Copy blocks to a store: for each its bytes, then its commit."""
        body = httpcommon.body(request)
        address = client_module.parse_address(body["destination"])
        exported, failed = [], []
        for key in body["keys"]:
            done = await self._push(address, key)
            (exported if done else failed).append(key)
        value = {"exported": exported, "failed": failed}
        return messages.json_response(200, value)

    async def _push(self, address: client_module.Address, key: str) -> bool:
        block = self.engine.model.cache.blocks.get(key)
        if block is None:
            return False
        generation, data = block.generation, self._block_bytes(block)
        await self.engine.timers.sleep(self.link.reserve(len(data)))
        commit_body = msgspec.json.encode({"checksum": kvcache.checksum(data)})
        sent = data[: len(data) // 2] if self.partial_writes else data
        try:
            status, _, _ = await self.client.call(
                address, "PUT", f"/v1/kv/{key}", sent, wait_ms=TRANSFER_TIMEOUT_MS
            )
            if status != 200 or not self._is_unchanged(key, generation):
                return False
            status, _, _ = await self.client.call(
                address,
                "POST",
                f"/v1/kv/{key}/commit",
                commit_body,
                wait_ms=TRANSFER_TIMEOUT_MS,
            )
        except (client_module.RequestNotSent, client_module.ResponseLost):
            return False
        return status == 200

    def _is_unchanged(self, key: str, generation: int) -> bool:
        block = self.engine.model.cache.blocks.get(key)
        return block is not None and block.generation == generation
