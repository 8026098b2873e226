"""Executes block transfers between targets over HTTP.

The protocol is decided by ``transfers``. This module makes the calls, which
docs/ARCHITECTURE.md lists for engines and stores, and enforces the time limit::

    outcome = await client.import_blocks(store, engine, keys, limit_ms=400.0)
    outcome.keys        # now readable at the engine
"""

import asyncio
import functools
import typing

import msgspec

from cornelreach.http import client as client_module, messages
from cornelreach.prompts import transfers
from cornelreach.util import decoding

CALL_WAIT_MS = 10_000
CLEANUP_WAIT_MS = 2_000
CALL_FAILURES = (
    client_module.RequestNotSent,
    client_module.ResponseLost,
    *decoding.DECODE_ERRORS,
    OSError,
)


class _Block(typing.TypedDict):
    key: str
    generation: int
    checksum: str
    committed: bool


class _Blocks(typing.TypedDict):
    blocks: list[_Block]


class _StagedBlock(typing.TypedDict):
    key: str
    checksum: str


# The keyword "import" cannot be a field name in a class body.
_Staged = typing.TypedDict("_Staged", {"import": str, "staged": list[_StagedBlock]})


class _Committed(typing.TypedDict):
    committed: list[str]


class _Exported(typing.TypedDict):
    exported: list[str]


class CallRefused(Exception):
    """A target answered a call of a transfer with an error status."""


class TransferClient:
    """Copies and deletes blocks; callers limit how many transfers run at a time."""

    def __init__(self, client: client_module.Client) -> None:
        self.client = client

    async def import_blocks(
        self,
        source: client_module.Address,
        target: client_module.Address,
        keys: typing.Sequence[str],
        limit_ms: float,
    ) -> transfers.Outcome:
        """Import blocks from a source into an engine; give up after ``limit_ms``.

        Failed calls and the time limit raise no exception: the outcome tells which
        blocks are readable at the engine.
        """
        executor = _TransferExecutor(self, source, target, transfers.Transfer(keys))
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                await executor.run()
        except TimeoutError:
            await executor.stop(transfers.TimedOut())
        except (*CALL_FAILURES, CallRefused) as error:
            await executor.stop(transfers.Failed(str(error)))
        return executor.transfer.outcome

    async def export_blocks(
        self,
        engine: client_module.Address,
        store: client_module.Address,
        keys: typing.Sequence[str],
        limit_ms: float,
    ) -> tuple[str, ...]:
        """Let an engine copy blocks to a store; return the keys that the store has.

        The engine writes each block, checks its own cache again and then commits it.
        """
        request = {"destination": str(store), "keys": list(keys)}
        try:
            _, body = await self.call(engine, "/v1/kv/export", request, limit_ms)
            exported = msgspec.json.decode(body, type=_Exported)["exported"]
        except (*CALL_FAILURES, CallRefused):
            return ()
        return tuple(key for key in keys if key in exported)

    async def delete_blocks(
        self, store: client_module.Address, keys: typing.Sequence[str]
    ) -> None:
        """Delete blocks of a store; the next listing shows what a failure left."""
        for key in keys:
            try:
                await self.client.call(
                    store, "DELETE", f"/v1/kv/{key}", wait_ms=CLEANUP_WAIT_MS
                )
            except CALL_FAILURES:
                return

    async def call(
        self,
        address: client_module.Address,
        path: str,
        value: dict[str, typing.Any],
        wait_ms: float = CALL_WAIT_MS,
    ) -> tuple[str, bytes]:
        """POST a JSON value; return the boot identity of the target and the body."""
        status, body, headers = await self.client.call(
            address, "POST", path, msgspec.json.encode(value), wait_ms=wait_ms
        )
        if status != 200:
            raise CallRefused(f"{address}{path} answered {status}")
        return _boot_id(headers), body


class _TransferExecutor:
    """Executes the commands of one transfer."""

    def __init__(
        self,
        client: TransferClient,
        source: client_module.Address,
        target: client_module.Address,
        transfer: transfers.Transfer,
    ) -> None:
        self.client = client
        self.source = source
        self.target = target
        self.transfer = transfer

    async def run(self) -> None:
        commands = self.transfer.start()
        while commands:
            event = await _execute(commands[0], self)
            commands = self.transfer.handle(event)

    async def stop(self, event: transfers.Event) -> None:
        """End the transfer early; drop staged blocks if the target still answers."""
        for command in self.transfer.handle(event):
            try:
                await _execute(command, self)
            except (*CALL_FAILURES, CallRefused):
                return


@functools.singledispatch
async def _execute(
    command: transfers.Command, executor: _TransferExecutor
) -> transfers.Event:
    raise TypeError(f"unknown command {command!r}; see transfers.Command")


@_execute.register
async def _(
    command: transfers.QueryStats, executor: _TransferExecutor
) -> transfers.Event:
    value = {"keys": list(command.keys)}
    boot, body = await executor.client.call(executor.source, "/v1/kv/stat", value)
    answer = msgspec.json.decode(body, type=_Blocks)
    stats = (transfers.BlockStat(boot=boot, **block) for block in answer["blocks"])
    return transfers.StatsReceived(tuple(stats))


@_execute.register
async def _(command: transfers.Stage, executor: _TransferExecutor) -> transfers.Event:
    blocks = [
        {"key": stat.key, "generation": stat.generation, "checksum": stat.checksum}
        for stat in command.blocks
    ]
    value = {"source": str(executor.source), "blocks": blocks}
    _, body = await executor.client.call(executor.target, "/v1/kv/import", value)
    answer = msgspec.json.decode(body, type=_Staged)
    checksums = {block["key"]: block["checksum"] for block in answer["staged"]}
    return transfers.Staged(answer["import"], checksums)


@_execute.register
async def _(command: transfers.Commit, executor: _TransferExecutor) -> transfers.Event:
    value = {"import": command.staging, "keys": list(command.keys)}
    wait_ms = CALL_WAIT_MS if command.keys else CLEANUP_WAIT_MS
    _, body = await executor.client.call(
        executor.target, "/v1/kv/commit", value, wait_ms=wait_ms
    )
    answer = msgspec.json.decode(body, type=_Committed)
    return transfers.Committed(tuple(answer["committed"]))


def _boot_id(headers: messages.Headers) -> str:
    """Return the boot identity in the response headers, or an empty string."""
    for key, value in headers:
        if key == b"x-boot-id":
            return value.decode("latin-1")
    return ""
