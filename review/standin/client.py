"""A client of the gateway (PROTOCOL.md, "The wire", "Clients")."""

import asyncio


class Answer:
    """`end` is the signature of a success, or None; `code` the error's code, or None; `state` and `position` are READY's."""

    def __init__(self, rows, end, code, state, text=""):
        self.rows, self.end, self.code, self.state, self.text = rows, end, code, state, text


class Session:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, host, port, database, who="review"):
        """Opens a session; raises ConnectionError if it is refused."""
        reader, writer = await asyncio.open_connection(host, port)
        session = cls(reader, writer)
        writer.write(f"CONNECT {database} {who}\r\n".encode())
        line = await session.line()
        if not line.startswith("READY"):
            session.close()
            raise ConnectionError(line)
        return session

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def ask(self, request, text, limit_s=6.0):
        """Sends a statement and reads its whole answer; raises ConnectionError or TimeoutError without one."""
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        return await asyncio.wait_for(self.answer(), limit_s)

    async def answer(self):
        rows, end, code, text = [], None, None, ""
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                end = rest
            elif word == "ERROR":
                code, _, text = rest.partition(" ")
            elif word == "READY":
                return Answer(rows, end, code, rest.split(" ")[0], text)

    def close(self):
        self.writer.close()
