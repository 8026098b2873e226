"""Helpers for tests over a site of real processes."""

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


async def start(case, instances=1):
    """Start a site for a test case and stop it with the test."""
    folder = tempfile.TemporaryDirectory(prefix="cornelreach-test-")
    case.addCleanup(folder.cleanup)
    started = site.Site(pathlib.Path(folder.name), instances)
    case.addAsyncCleanup(started.stop)
    await started.start()
    await started.wait_settled()
    return started


def process(started, name):
    """Return a process of a site by name, the latest one."""
    return [one for one in started.processes if one.name == name][-1]


def kill(started, name):
    """End a process at once."""
    process(started, name).handle.send_signal(signal.SIGKILL)


def chat_body(content, model="drafter", **fields):
    """Return the body of a chat call."""
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
    """Start a stream; returns its answer once the head has arrived."""
    return await started.http.send(
        client.parse_address(member.callers),
        "POST",
        "/v1/chat/completions",
        chat_body(content, stream=True, **fields),
        HEADERS,
    )


async def book(started, member, key, body=b"{}"):
    """Book with a key; returns status and decoded body."""
    status, answer, _ = await started.http.call(
        client.parse_address(member.callers),
        "POST",
        "/v1/services/booking/blocks",
        body,
        (*HEADERS, (b"idempotency-key", key.encode())),
    )
    return status, msgspec.json.decode(answer)


async def order(started, member, path, value):
    """Give an operator's order to an instance; returns its status."""
    status, _, _ = await started.http.call(
        client.parse_address(member.admin),
        "POST",
        path,
        msgspec.json.encode(value),
        OPERATOR,
    )
    return status


async def tool(started, *arguments):
    """Run the operators' tool against a site; returns exit status and output."""
    environment = {
        **os.environ,
        "CORNELREACH_PLATFORM": f"http://{started.platform}",
        "CORNELREACH_INSTANCES": ",".join(one.admin for one in started.instances),
        "CORNELREACH_OPERATOR_KEY_FILE": str(started.folder / "operator"),
    }
    run = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cornelreach.ui.main",
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await run.communicate()
    return run.returncode, output.decode()


async def until(check, tries=150, pause_s=0.2):
    """Wait until an async check returns something true, and return it."""
    for _ in range(tries):
        found = await check()
        if found:
            return found
        await asyncio.sleep(pause_s)
    raise AssertionError("the check did not come true")


def words(text):
    """Return the numbers and words of server-sent events, and whether they ended."""
    numbers, found, done = [], [], False
    for line in bytes(text).split(b"\n"):
        if line.startswith(b"id: "):
            numbers.append(int(line[4:]))
        elif line == b"data: [DONE]":
            done = True
        elif line.startswith(b"data: {"):
            chunk = msgspec.json.decode(line[6:])
            found.append(chunk["choices"][0]["delta"].get("content") or "")
    return numbers, "".join(found).split(), done
