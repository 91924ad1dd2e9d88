"""A small HTTP/1.1 server and client over asyncio, which parse heads with httptools.

Each connection runs one exchange at a time. Importing this package takes a tenth of the time and memory of
importing aiohttp, which matters because nodes are started thousands of times a day. The package does not
depend on routes, engines or the agent.
"""
