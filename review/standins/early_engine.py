"""A plain backend server in a process of its own. It answers before it has read a long body,
with an answer that has no length and ends with its channel, as RULES.md allows. It works for
PAUSE_S between the two halves of its answer, and reads the body after it.

Usage: early_engine.py ID SERVICE PAUSE_S. Prints its port, then one line for each run."""

import asyncio
import socket
import sys

from standins import HOST, read_head

READ_LIMIT = 16384
RECEIVE_BUFFER = 65536
# Loopback has segments of 64 KB, with which the sender's kernel takes up megabytes.
ETHERNET_SEGMENT = 1448
PIECES = 20
PIECE = b"line %03d of the answer\n"


def whole_answer():
    return b"".join(PIECE % number for number in range(PIECES))


async def connection(reader, writer):
    try:
        await serve(reader, writer)
    except ConnectionError:
        pass
    finally:
        writer.close()


async def serve(reader, writer):
    server_id, pause_s = sys.argv[1], float(sys.argv[3])
    head = await read_head(reader)
    if head is None:
        return
    fields = head[1]
    expected = fields.get("x-pomelorouter-target-instance", server_id)
    if expected != server_id:
        writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Pomelorouter-Instance-Id: "
                     f"{server_id}\r\nContent-Length: 0\r\n\r\n".encode())
        return
    attempt = fields.get("x-pomelorouter-attempt-id", "")
    print(f"run {attempt}", flush=True)
    writer.write((f"HTTP/1.1 200 OK\r\nX-Pomelorouter-Attempt-Id: {attempt}\r\n"
                  f"X-Pomelorouter-Server-Seal: {server_id}\r\n"
                  f"X-Pomelorouter-Instance-Id: {server_id}\r\n"
                  f"Connection: close\r\n\r\n").encode())
    for number in range(PIECES):
        if number == PIECES // 2:
            await writer.drain()
            print(f"half {attempt}", flush=True)
            await asyncio.sleep(pause_s)
        writer.write(PIECE % number)
    await writer.drain()
    # Reads on, so that the end of the channel is not a reset.
    left = int(fields.get("content-length", "0"))
    while left > 0:
        data = await reader.read(65536)
        if not data:
            break
        left -= len(data)
    print(f"whole {attempt}", flush=True)


async def main():
    # Small buffers: the server does not read far ahead of what it works on.
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT)
    listener.bind((HOST, 0))
    server = await asyncio.start_server(connection, sock=listener, limit=READ_LIMIT)
    print(f"port {server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
