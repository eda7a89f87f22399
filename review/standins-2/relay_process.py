"""A relay in front of the peers' address of one process, in a process of its own, with a delay.

Started by `delayed` with its port, its target, the addresses to be written and the delay, as JSON.
"""

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, settings: dict[str, Any]
) -> None:
    loop = asyncio.get_running_loop()
    names = [(real.encode(), shown.encode()) for real, shown in settings["names"]]

    def write(data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    try:
        while data := await reader.read(65536):
            for real, shown in names:
                data = data.replace(real, shown)
            loop.call_later(settings["delay_s"], write, data)
    except OSError:
        pass
    await asyncio.sleep(settings["delay_s"])
    writer.close()


async def _main(settings: dict[str, Any]) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", settings["target"])
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            _copy(reader, to_writer, settings), _copy(to_reader, writer, settings)
        )

    server = await asyncio.start_server(serve, "127.0.0.1", settings["port"])
    print("listening", flush=True)
    await server.serve_forever()


def delayed(site: Any, delay_s: float) -> Callable[[], None]:
    """Put such a relay in front of each process of a site that hasn't started.

    :returns: ends the relays.
    """
    from deployment import HOST, free_port

    ports = [free_port() for _ in site.nodes]
    names = [
        (f"{HOST}:{node.ports['peers']}", f"{HOST}:{port}")
        for node, port in zip(site.nodes, ports, strict=True)
    ]
    assert all(len(real) == len(shown) for real, shown in names)
    processes = []
    for node, port in zip(site.nodes, ports, strict=True):
        settings = {
            "port": port, "target": node.ports["peers"], "names": names, "delay_s": delay_s
        }
        processes.append(
            subprocess.Popen(
                [sys.executable, "-B", str(Path(__file__).resolve()), json.dumps(settings)],
                stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
            )
        )
    for process in processes:
        assert process.stdout is not None
        process.stdout.readline()

    def rewrite(table: str, key: str, value: bytes) -> bytes:
        if table in ("op", "servers"):
            return value
        for real, shown in names:
            value = value.replace(real.encode(), shown.encode())
        return value

    def end() -> None:
        for process in processes:
            process.kill()
            process.wait()

    site.store.rewrite = rewrite
    return end


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
