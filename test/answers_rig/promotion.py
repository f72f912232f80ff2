"""The platform's promotion service, for the members of the rig."""

import asyncio
import json


class PromotionService:
    """Serves POST /promote. `promote` is called with a service and the id of
    one of its members; it returns whether that member is running."""

    def __init__(self, promote):
        self.promote = promote
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(self.body_length(head))
                writer.write(self.respond(head, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError):
            pass
        finally:
            writer.close()

    @staticmethod
    def body_length(head):
        for line in head.decode().split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                return int(value)
        return 0

    def respond(self, head, body):
        status = "404 Not Found"
        if head.startswith(b"POST /promote "):
            call = json.loads(body)
            done = self.promote(call["service"], call["id"])
            status = "200 OK" if done else "409 Conflict"
        return (f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                "Content-Length: 2\r\n\r\n{}").encode()
