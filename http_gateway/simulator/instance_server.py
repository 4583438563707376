"""Serves policy instances over the simulator protocol: reads batches of events and writes replies."""

from __future__ import annotations

from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

import orjson

from http_gateway.policy.actions import Action
from http_gateway.policy.balancer import Balancer
from http_gateway.settings_reader import read_settings
from http_gateway.simulator.codec import WireMessage, decode_event, encode_action, required_field


class MalformedInputError(Exception):
    """The input violates the framing of the simulator protocol, so the rest cannot be answered."""


class UnknownInstanceError(Exception):
    """An event is addressed to an instance that has not been configured or has been retired.

    Attributes:
        verb: The verb of the event's message.
        instance: The number of the instance.
    """

    def __init__(self, verb: str, instance: int) -> None:
        self.verb = verb
        self.instance = instance
        super().__init__(f"{verb}: instance {instance} is not configured")


class Frame(NamedTuple):
    """The message that starts a batch: the simulator's clock and the number of the batch."""

    clock_us: int
    number: int


class InstanceServer:
    """The policy instances of one process, each identified by a number in the messages."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._failed_instances: set[int] = set()

    def handle(self, message: WireMessage, now_us: int) -> list[WireMessage]:
        """Pass one event to its instance.

        If handling the event raises an exception, the instance has failed and the reply is one `exception`
        message. Further events for a failed instance are ignored until it is retired.

        Args:
            message: The event's message.
            now_us: The simulator's time.

        Returns:
            The actions of the instance as messages.
        """
        instance = message["gateway"]
        if message["verb"] == "retire":
            self._retire(instance)
            return []
        if instance in self._failed_instances:
            return []
        try:
            return [encode_action(instance, action) for action in self._actions(instance, message, now_us)]
        except Exception as error:
            self._failed_instances.add(instance)
            text = f"{type(error).__name__}: {error}"
            return [{"verb": "exception", "gateway": instance, "msg": text}]

    def _actions(self, instance: int, message: WireMessage, now_us: int) -> list[Action]:
        if message["verb"] == "configure":
            self._configure(instance, message)
            return []
        event = decode_event(message)
        if event is None:
            return []
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise UnknownInstanceError(message["verb"], instance)
        return balancer.handle(event, now_us)

    def _configure(self, instance: int, message: WireMessage) -> None:
        settings = read_settings(required_field(message, "setup"), "setup")
        self._balancers[instance] = Balancer(settings, required_field(message, "seed"))

    def _retire(self, instance: int) -> None:
        self._balancers.pop(instance, None)
        self._failed_instances.discard(instance)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Args:
        source: The input, one JSON message per line.
        sink: The output, one JSON message per line; flushed after each batch.

    Raises:
        MalformedInputError: The input violates the framing of the protocol.
    """
    server = InstanceServer()
    for line in source:
        frame = _read_frame(line)
        reply: list[WireMessage] = []
        for message in _read_events(source):
            reply.extend(server.handle(message, frame.clock_us))
        reply.append({"verb": "ack", "frame": frame.number})
        _write_reply(sink, reply)


def _read_frame(line: bytes) -> Frame:
    """Convert the line that starts a batch."""
    message = _read_message(line)
    clock_us, number = message.get("clock"), message.get("frame")
    if message["verb"] != "frame" or not isinstance(clock_us, int) or not isinstance(number, int):
        raise MalformedInputError(
            "a batch must start with a frame message that has integer clock and frame fields"
        )
    return Frame(clock_us, number)


def _read_events(source: BinaryIO) -> Iterator[WireMessage]:
    """Read the events of a batch up to its end marker."""
    for line in source:
        message = _read_message(line)
        if message["verb"] == "eob":
            return
        if not isinstance(message.get("gateway"), int):
            raise MalformedInputError(f"{message['verb']} message has no integer gateway field")
        yield message
    raise MalformedInputError("input ended before the eob message of a batch")


def _read_message(line: bytes) -> WireMessage:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise MalformedInputError("line is not valid JSON") from None
    if not isinstance(message, dict) or not isinstance(message.get("verb"), str):
        raise MalformedInputError("line is not a JSON object with a string verb field")
    return message


def _write_reply(sink: BinaryIO, reply: list[WireMessage]) -> None:
    sink.write(b"".join(orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE) for message in reply))
    sink.flush()
