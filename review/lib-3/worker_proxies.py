"""Proxies before the workers: they hold back one start, and cut a worker off."""

import asyncio
import threading

HELD_BACK = "/v1/run-start"


class Link:
    """What lies between the nodes and one worker."""

    def __init__(self, vm, target):
        self.vm = vm
        self.target = target
        self.address = ""
        self.is_cut = False


async def read_message(reader):
    """Returns one HTTP message as bytes; nothing at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    size = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
    return head + (await reader.readexactly(size) if size else b"")


class WorkerProxies:
    """Runs on a thread of its own. `on_held` is called with the link whose start is held back."""

    def __init__(self, address, late_seconds, record, on_held):
        self.address = address
        self.late_seconds = late_seconds
        self.record = record
        self.on_held = on_held
        self.held_job = None  # the first start of its tasks is held back
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def open(self, vm, target):
        link = Link(vm, target)

        async def serve():
            server = await asyncio.start_server(
                lambda reader, writer: self._serve(link, reader, writer), self.address, 0)
            link.address = "%s:%d" % server.sockets[0].getsockname()

        asyncio.run_coroutine_threadsafe(serve(), self.loop).result(5)
        return link

    def close(self):
        async def cancel():
            for task in asyncio.all_tasks(self.loop):
                if task is not asyncio.current_task():
                    task.cancel()

        asyncio.run_coroutine_threadsafe(cancel(), self.loop).result(5)

    async def _connect(self, link):
        host, port = link.target.split(":")
        return await asyncio.open_connection(host, int(port))

    async def _serve(self, link, reader, writer):
        upstream = None
        try:
            while (request := await read_message(reader)) is not None:
                job = self.held_job
                if job and request.startswith(f"POST {HELD_BACK} ".encode()) and job in request:
                    self.held_job = None
                    self.record.note(f"a start reaches {link.vm} and is held back")
                    asyncio.ensure_future(self._deliver_late(link, request))
                    self.on_held(link)
                    await asyncio.sleep(3600)  # no answer comes on this connection
                while link.is_cut:
                    await asyncio.sleep(3600)
                upstream = upstream or await self._connect(link)
                upstream[1].write(request)
                answer = await read_message(upstream[0])
                if answer is None:
                    break
                while link.is_cut:
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # an end of the connection, or of the case
        finally:
            for each in (writer, upstream and upstream[1]):
                if each:
                    each.close()

    async def _deliver_late(self, link, request):
        await asyncio.sleep(self.late_seconds)
        reader, writer = await self._connect(link)
        writer.write(request)
        answer = await read_message(reader)
        writer.close()
        self.record.note(f"the start is carried out on {link.vm}: "
                         f"{(answer or b'no answer').split(bytes([13]))[0].decode()} "
                         f"{(answer or b'').partition(bytes([13, 10, 13, 10]))[2].decode()}")
