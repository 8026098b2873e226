"""gRPC transport between instances: generic unary methods with msgspec messages.

A method pairs a request type with a reply type, both NamedTuples::

    PING = wire.Method("Ping", Ping, Pong)
    server.register(PING, handler)
    reply = await client.call(address, PING, Ping(1), wait_ms=500)

Every message is sent with its sender and the sender's settings revision, so that any
call lets an instance detect that its settings are behind.
"""

import typing

import grpc
import msgspec
from returns import result

from cornelreach.peers import credentials as credentials_module
from cornelreach.util import decoding, events

SERVICE = "cornelreach.Peer"
CLOSE_GRACE_S = 5.0
MAX_MESSAGE_BYTES = 4 * 1_048_576
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)

SERVER_NAME_OPTION = ("grpc.ssl_target_name_override", credentials_module.SERVER_NAME)

PEER_HANDLER_FAILED = events.define(
    1701,
    "ERROR",
    "Peer method {method} failed: {error}.",
    "Report it with the log line.",
)

Request = typing.TypeVar("Request")
Reply = typing.TypeVar("Reply")


class Sender(typing.NamedTuple):
    """Sender of a message: name, data centre, boot ID and settings revision."""

    name: str
    data_centre: str
    boot: str
    revision: int


class PeerUnreachable(typing.NamedTuple):
    """A call failed; it is unknown whether the peer received the request."""

    address: str
    reason: str


class Method(typing.Generic[Request, Reply]):
    """A unary method: its name, request type and reply type."""

    def __init__(self, name: str, request: type[Request], reply: type[Reply]) -> None:
        self.name = name
        self.path = f"/{SERVICE}/{name}"
        self.request_decoder = msgspec.msgpack.Decoder(tuple[Sender, request])
        self.reply_decoder = msgspec.msgpack.Decoder(tuple[Sender, reply])


Handler = typing.Callable[[Sender, typing.Any], typing.Awaitable[typing.Any]]
SenderSource = typing.Callable[[], Sender]
CredentialsSource = typing.Callable[[], grpc.ChannelCredentials]
SenderHook = typing.Callable[[Sender], None]


class Server:
    """Serves the methods that the components of an instance register."""

    def __init__(self, sender: SenderSource, on_sender: SenderHook) -> None:
        self._sender = sender
        self._on_sender = on_sender
        self._methods: dict[str, grpc.RpcMethodHandler] = {}
        self._server: grpc.aio.Server | None = None
        self.port = 0

    def register(self, method: Method, handler: Handler) -> None:
        """Serve a method with a coroutine that takes sender and request."""

        async def handle_call(data: bytes, context: grpc.aio.ServicerContext) -> bytes:
            try:
                sender, request = method.request_decoder.decode(data)
            except decoding.DECODE_ERRORS as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            self._on_sender(sender)
            reply = await self._call_handler(method, handler, sender, request)
            return msgspec.msgpack.encode((self._sender(), reply))

        self._methods[method.name] = grpc.unary_unary_rpc_method_handler(handle_call)

    async def _call_handler(
        self, method: Method, handler: Handler, sender: Sender, request: object
    ) -> object:
        try:
            return await handler(sender, request)
        except Exception as error:
            events.emit(PEER_HANDLER_FAILED, method=method.name, error=repr(error))
            raise

    async def start(
        self, address: str, credentials: grpc.ServerCredentials | None = None
    ) -> None:
        """Listen on ``host:port``; port 0 selects a free port."""
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        generic_handler = grpc.method_handlers_generic_handler(SERVICE, self._methods)
        self._server.add_generic_rpc_handlers((generic_handler,))
        if credentials is None:
            self.port = self._server.add_insecure_port(address)
        else:
            self.port = self._server.add_secure_port(address, credentials)
        await self._server.start()

    async def stop(self, grace_ms: float) -> None:
        """Stop after calls in progress have finished, at most ``grace_ms`` later."""
        if self._server is not None:
            await self._server.stop(grace_ms / 1_000)


class Client:
    """Calls methods of peers, with one channel per address."""

    def __init__(
        self,
        sender: SenderSource,
        on_sender: SenderHook,
        credentials: CredentialsSource | None = None,
    ) -> None:
        self._sender = sender
        self._on_sender = on_sender
        self._credentials = credentials
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._calls: dict[tuple[str, str], grpc.aio.UnaryUnaryMultiCallable] = {}

    async def call(
        self,
        address: str,
        method: Method[Request, Reply],
        request: Request,
        wait_ms: float,
    ) -> result.Result[Reply, PeerUnreachable]:
        """Return the reply to a request, or PeerUnreachable within ``wait_ms``."""
        data = msgspec.msgpack.encode((self._sender(), request))
        try:
            answer = await self._callable(address, method)(data, timeout=wait_ms / 1e3)
            sender, reply = method.reply_decoder.decode(answer)
        except grpc.aio.AioRpcError as error:
            reason = f"{error.code().name}: {error.details()}"
            return result.Failure(PeerUnreachable(address, reason))
        except decoding.DECODE_ERRORS as error:
            return result.Failure(PeerUnreachable(address, str(error)))
        self._on_sender(sender)
        return result.Success(reply)

    def _callable(
        self, address: str, method: Method
    ) -> grpc.aio.UnaryUnaryMultiCallable:
        key = (address, method.path)
        if key not in self._calls:
            self._calls[key] = self._channel(address).unary_unary(method.path)
        return self._calls[key]

    def _channel(self, address: str) -> grpc.aio.Channel:
        if address not in self._channels:
            options = CHANNEL_OPTIONS
            if self._credentials is None:
                channel = grpc.aio.insecure_channel(address, options)
            else:
                channel = grpc.aio.secure_channel(
                    address, self._credentials(), (*options, SERVER_NAME_OPTION)
                )
            self._channels[address] = channel
        return self._channels[address]

    async def close_channel(self, address: str) -> None:
        """Close the channel to a peer that has left."""
        channel = self._channels.pop(address, None)
        self._calls = {
            key: call for key, call in self._calls.items() if key[0] != address
        }
        if channel is not None:
            await channel.close()

    async def reopen_channels(self) -> None:
        """Replace all channels: the next calls open new ones with new credentials."""
        channels, self._channels, self._calls = self._channels, {}, {}
        for channel in channels.values():
            await channel.close(CLOSE_GRACE_S)

    async def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels):
            await self.close_channel(address)
