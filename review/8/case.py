"""A tenant becomes isolated by a config; another one asks for a part of its prompt."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import asyncio  # noqa: E402

import world as world_module  # noqa: E402

BOOK = "5c1e07a2:7520"  # a shared part, as that of a rulebook
SETTLED_S = 4.0  # twice config_apply_ms


def config(version, is_isolated, store):
    """Return a config whose first tenant is isolated or not."""
    tenants = [
        {"name": "jeye930", "api_keys": ["key-a"], "isolated": is_isolated},
        {"name": "defi252", "api_keys": ["key-b"], "isolated": False},
    ]
    return world_module.config(version, [world_module.prompt_route()], tenants, [store])


async def play(world):
    """Return the requests that used KV cache of the isolated tenant."""
    await world.add_engine("i-1", "llm-pool", "lj-north", world_module.MODEL)
    store = await world.add_store("prompt-store", "lj-north")
    world.write_config(config(1, False, store))
    await world.start_edges(1)
    await world.ask("/check/1", "key-a", prompt=f"{BOOK},aa01:1670")
    await asyncio.sleep(1.0)
    if world.is_troubled:
        world.write_config(config(2, True, store))
    await asyncio.sleep(SETTLED_S)
    served = 0
    for number in range(5):
        prompt = f"{BOOK},bb0{number}:1670"
        _, answer = await world.ask("/check/1", "key-b", prompt=prompt)
        served += answer is not None and answer.status == 200
    if not served:
        raise world_module.CannotRun("no request of the other tenant was served")
    if not world.is_troubled:
        return []  # neither is isolated
    return [
        f"{one.request} of {one.tenant} uses {one.part} of {one.made.tenant}, isolated"
        for one in world.uses
        if one.tenant != one.made.tenant
    ]


world_module.main(play, pathlib.Path(__file__).parent)
