"""Helpers for tests with a site of real processes."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

import msgspec

from cornelreach.http import client
from standins import site

HEADERS = ((b"authorization", b"Bearer " + site.ACCOUNT_KEY.encode()),)
OPERATOR = ((b"authorization", b"Bearer " + site.OPERATOR_KEY.encode()),)


async def start(test_case, instances=1):
    """Start a site for a test case, and stop it when the test ends."""
    folder = tempfile.TemporaryDirectory(prefix="cornelreach-test-")
    test_case.addCleanup(folder.cleanup)
    started = site.Site(pathlib.Path(folder.name), instances)
    test_case.addAsyncCleanup(started.stop)
    await started.start()
    await started.wait_settled()
    return started


def process(started, name):
    """Return the latest process with a name."""
    return [one for one in started.processes if one.name == name][-1]


def kill(started, name):
    """Kill a process."""
    process(started, name).handle.send_signal(signal.SIGKILL)


def chat_body(content, model="drafter", **fields):
    """Return the encoded body of a chat call."""
    message = {"role": "user", "content": content}
    fields = {"model": model, "messages": [message], "max_tokens": 24, **fields}
    return msgspec.json.encode(fields)


async def chat(started, member, content, **fields):
    """Send a chat call to an instance; returns status and decoded body."""
    status, body, _ = await started.http.call(
        client.parse_address(member.callers),
        "POST",
        "/v1/chat/completions",
        chat_body(content, **fields),
        HEADERS,
    )
    return status, msgspec.json.decode(body)


async def open_stream(started, member, content, **fields):
    """Start a stream; returns its response after the header has arrived."""
    return await started.http.send(
        client.parse_address(member.callers),
        "POST",
        "/v1/chat/completions",
        chat_body(content, stream=True, **fields),
        HEADERS,
    )


async def book(started, member, key, body=b"{}"):
    """Send a booking with an idempotency key; returns status and decoded body."""
    status, answer, _ = await started.http.call(
        client.parse_address(member.callers),
        "POST",
        "/v1/services/booking/blocks",
        body,
        (*HEADERS, (b"idempotency-key", key.encode())),
    )
    return status, msgspec.json.decode(answer)


async def order(started, member, path, value):
    """Send an operator's directive to an instance; returns the response status."""
    status, _, _ = await started.http.call(
        client.parse_address(member.admin),
        "POST",
        path,
        msgspec.json.encode(value),
        OPERATOR,
    )
    return status


async def tool(started, *arguments):
    """Run the command-line tool against a site; returns exit status and output."""
    environment = {
        **os.environ,
        "CORNELREACH_PLATFORM": f"http://{started.platform}",
        "CORNELREACH_INSTANCES": ",".join(one.admin for one in started.instances),
        "CORNELREACH_OPERATOR_KEY_FILE": str(started.folder / "operator"),
    }
    tool_process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cornelreach.ui.main",
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await tool_process.communicate()
    return tool_process.returncode, output.decode()


async def until(check, tries=150, pause_s=0.2):
    """Poll an async check until it returns a true value, and return that value."""
    for _ in range(tries):
        result = await check()
        if result:
            return result
        await asyncio.sleep(pause_s)
    raise AssertionError("the check returned no true value in time")


def words(text):
    """Return the ids and words of server-sent events, and whether the stream ended."""
    event_ids, contents, done = [], [], False
    for line in bytes(text).split(b"\n"):
        if line.startswith(b"id: "):
            event_ids.append(int(line[4:]))
        elif line == b"data: [DONE]":
            done = True
        elif line.startswith(b"data: {"):
            chunk = msgspec.json.decode(line[6:])
            contents.append(chunk["choices"][0]["delta"].get("content") or "")
    return event_ids, "".join(contents).split(), done
