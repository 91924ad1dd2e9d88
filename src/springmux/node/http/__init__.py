"""HTTP/1.1 over asyncio with httptools' parser: a small server and a client with one exchange at a time.

Lean on purpose: importing it costs a tenth of the large HTTP library's time and memory, and a node is
started thousands of times a day. Knows nothing of routes, engines or the agent.
"""
