"""Serves policy instances on the simulator's wire: batches of events in, replies out."""

from __future__ import annotations

from typing import BinaryIO

import orjson

from http_gateway.policy.actions import Action
from http_gateway.policy.balancer import Balancer
from http_gateway.settings_reader import read_settings
from http_gateway.simulator.codec import WireMessage, decode_event, encode_action


class MalformedInputError(Exception):
    """The input is not of the wire's form; nothing after it can be answered."""


class InstanceServer:
    """The instances of one process, by their number on the wire."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._failed: set[int] = set()

    def handle(self, message: WireMessage, now_us: int) -> list[WireMessage]:
        """Hand one event to its instance; return the actions as messages.

        An instance that raises is declared failed, and its further events are ignored until it is retired.
        """
        instance = message["gateway"]
        if message["verb"] == "retire":
            self._balancers.pop(instance, None)
            self._failed.discard(instance)
            return []
        if instance in self._failed:
            return []
        try:
            return [encode_action(instance, action) for action in self._actions(instance, message, now_us)]
        except Exception as error:
            self._failed.add(instance)
            text = f"{type(error).__name__}: {error}"
            return [{"verb": "exception", "gateway": instance, "msg": text}]

    def _actions(self, instance: int, message: WireMessage, now_us: int) -> list[Action]:
        if message["verb"] == "configure":
            self._balancers[instance] = Balancer(read_settings(message["setup"], "setup"), message["seed"])
            return []
        event = decode_event(message)
        return [] if event is None else self._balancers[instance].handle(event, now_us)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raises `MalformedInputError`."""
    server = InstanceServer()
    for line in source:
        now_us, batch_number = _read_frame(line)
        reply: list[WireMessage] = []
        for event_line in source:
            message = _read_message(event_line)
            if message["verb"] == "eob":
                break
            if not isinstance(message.get("gateway"), int):
                raise MalformedInputError(f"{message['verb']} names no gateway")
            reply.extend(server.handle(message, now_us))
        else:
            raise MalformedInputError("the input ended inside a batch")
        reply.append({"verb": "ack", "frame": batch_number})
        sink.write(b"".join(orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE) for message in reply))
        sink.flush()


def _read_frame(line: bytes) -> tuple[int, int]:
    """The clock and the number of the batch that a line opens."""
    message = _read_message(line)
    clock, number = message.get("clock"), message.get("frame")
    if message["verb"] != "frame" or not isinstance(clock, int) or not isinstance(number, int):
        raise MalformedInputError("a batch must open with a frame that has a clock and a number")
    return clock, number


def _read_message(line: bytes) -> WireMessage:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise MalformedInputError("a line is not JSON") from None
    if not isinstance(message, dict) or not isinstance(message.get("verb"), str):
        raise MalformedInputError("a line is not an object with a verb")
    return message
