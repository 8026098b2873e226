"""A route is opened by a config; its clients go on to send their keys."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import asyncio  # noqa: E402

import world as world_module  # noqa: E402

BOOK = "5c1e07a2:7520"  # a shared part, as that of a rulebook
SETTLED_S = 4.0  # twice config_apply_ms
TENANTS = {"key-a": "jeye930", "key-b": "defi252"}


def config(version, is_open, store):
    """Return a config whose route may be used without a key or not."""
    tenants = [
        {"name": "jeye930", "api_keys": ["key-a"], "isolated": True},
        {"name": "defi252", "api_keys": ["key-b"], "isolated": False},
    ]
    route = world_module.prompt_route(allow_anonymous=is_open)
    return world_module.config(version, [route], tenants, [store])


async def play(world):
    """Return the requests that ran for no tenant, and the use of foreign KV cache."""
    await world.add_engine("i-1", "llm-pool", "lj-north", world_module.MODEL)
    store = await world.add_store("prompt-store", "lj-north")
    world.write_config(config(1, False, store))
    await world.start_edges(1)
    keys = {}
    for key in TENANTS:
        request, _ = await world.ask("/check/1", key, prompt=f"{BOOK},aa01:1670")
        keys[request] = key
    if world.is_troubled:
        world.write_config(config(2, True, store))
    await asyncio.sleep(SETTLED_S)
    for key in (*TENANTS, *TENANTS):
        request, answer = await world.ask("/check/1", key, prompt=f"{BOOK},bb01:1670")
        keys[request] = key
        if answer is None or answer.status != 200:
            raise world_module.CannotRun("a request was not served")
    broken = []
    for request, _, fields in world.runs:
        tenant = fields.get("x-cornelreach-tenant", "none")
        if tenant != TENANTS[keys[request]]:
            broken.append(
                f"{request} with {keys[request]}, held by {TENANTS[keys[request]]}, "
                f"runs for the tenant {tenant}"
            )
    return broken


world_module.main(play, pathlib.Path(__file__).parent)
