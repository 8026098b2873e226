"""Carries out transfers of blocks between targets over HTTP.

The decisions are those of ``transfers``; this module makes the calls that
docs/ARCHITECTURE.md lists for engines and stores, and keeps the time limit::

    outcome = await mover.bring(store, engine, keys, limit_ms=400.0)
    outcome.keys        # readable at the engine now
"""

import asyncio
import functools
import typing

import msgspec

from cornelreach.http import client as client_module, messages
from cornelreach.prompts import transfers
from cornelreach.util import decoding

CALL_WAIT_MS = 10_000
DROP_WAIT_MS = 2_000
CALL_FAILURES = (
    client_module.RequestNotSent,
    client_module.AnswerLost,
    *decoding.UNREADABLE,
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


# The field is called "import", which no class body can define.
_Staged = typing.TypedDict("_Staged", {"import": str, "staged": list[_StagedBlock]})


class _Committed(typing.TypedDict):
    committed: list[str]


class _Exported(typing.TypedDict):
    exported: list[str]


class Refused(Exception):
    """A target answered a call of a transfer with an error."""


class Mover:
    """Moves blocks; ``running`` transfers at a time are bounded by the caller."""

    def __init__(self, client: client_module.Client) -> None:
        self.client = client

    async def bring(
        self,
        source: client_module.Address,
        target: client_module.Address,
        keys: typing.Sequence[str],
        limit_ms: float,
    ) -> transfers.Outcome:
        """Bring blocks to an engine; returns at the latest after ``limit_ms``.

        Never raises for a failed call: the outcome says what is readable.
        """
        carried = _Carried(self, source, target, transfers.Transfer(keys))
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                await carried.run()
        except TimeoutError:
            await carried.stop(transfers.TimedOut())
        except (*CALL_FAILURES, Refused) as error:
            await carried.stop(transfers.Failed(str(error)))
        return carried.transfer.outcome

    async def export(
        self,
        engine: client_module.Address,
        store: client_module.Address,
        keys: typing.Sequence[str],
        limit_ms: float,
    ) -> tuple[str, ...]:
        """Let an engine copy blocks to a store; returns those the store has.

        The engine writes, asks its own cache again and then commits each block.
        """
        order = {"destination": str(store), "keys": list(keys)}
        try:
            _, body = await self.call(engine, "/v1/kv/export", order, limit_ms)
            exported = msgspec.json.decode(body, type=_Exported)["exported"]
        except (*CALL_FAILURES, Refused):
            return ()
        return tuple(key for key in keys if key in exported)

    async def delete(
        self, store: client_module.Address, keys: typing.Sequence[str]
    ) -> None:
        """Free blocks of a store; failures are left to the next listing."""
        for key in keys:
            try:
                await self.client.call(
                    store, "DELETE", f"/v1/kv/{key}", wait_ms=DROP_WAIT_MS
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
        """POST a JSON value; returns the boot identity of the target and the body."""
        status, body, headers = await self.client.call(
            address, "POST", path, msgspec.json.encode(value), wait_ms=wait_ms
        )
        if status != 200:
            raise Refused(f"{address}{path} answered {status}")
        return _boot(headers), body


class _Carried:
    """One transfer on its way."""

    def __init__(
        self,
        mover: Mover,
        source: client_module.Address,
        target: client_module.Address,
        transfer: transfers.Transfer,
    ) -> None:
        self.mover = mover
        self.source = source
        self.target = target
        self.transfer = transfer

    async def run(self) -> None:
        commands = self.transfer.start()
        while commands:
            event = await _carry_out(commands[0], self)
            commands = self.transfer.on(event)

    async def stop(self, event: transfers.Event) -> None:
        """End early; what was staged is dropped as far as the target answers."""
        for command in self.transfer.on(event):
            try:
                await _carry_out(command, self)
            except (*CALL_FAILURES, Refused):
                return


@functools.singledispatch
async def _carry_out(command: transfers.Command, carried: _Carried) -> transfers.Event:
    raise TypeError(f"unknown command {command!r}; see transfers.Command")


@_carry_out.register
async def _(command: transfers.Ask, carried: _Carried) -> transfers.Event:
    value = {"keys": list(command.keys)}
    boot, body = await carried.mover.call(carried.source, "/v1/kv/stat", value)
    answer = msgspec.json.decode(body, type=_Blocks)
    stats = (transfers.Stat(boot=boot, **block) for block in answer["blocks"])
    return transfers.Asked(tuple(stats))


@_carry_out.register
async def _(command: transfers.Stage, carried: _Carried) -> transfers.Event:
    blocks = [
        {"key": stat.key, "generation": stat.generation, "checksum": stat.checksum}
        for stat in command.blocks
    ]
    value = {"source": str(carried.source), "blocks": blocks}
    _, body = await carried.mover.call(carried.target, "/v1/kv/import", value)
    answer = msgspec.json.decode(body, type=_Staged)
    checksums = {block["key"]: block["checksum"] for block in answer["staged"]}
    return transfers.Staged(answer["import"], checksums)


@_carry_out.register
async def _(command: transfers.Commit, carried: _Carried) -> transfers.Event:
    value = {"import": command.staging, "keys": list(command.keys)}
    wait_ms = CALL_WAIT_MS if command.keys else DROP_WAIT_MS
    _, body = await carried.mover.call(
        carried.target, "/v1/kv/commit", value, wait_ms=wait_ms
    )
    answer = msgspec.json.decode(body, type=_Committed)
    return transfers.Committed(tuple(answer["committed"]))


def _boot(headers: messages.Headers) -> str:
    """Return the boot identity in an answer's headers, empty if there is none."""
    for key, value in headers:
        if key == b"x-boot-id":
            return value.decode("latin-1")
    return ""
