"""HTTP/1.1 over asyncio with httptools' parser: a small server and a client with one exchange at a time.

Importing it takes a tenth of the time and memory of the large HTTP library; nodes are started thousands of
times a day. Knows nothing of routes, engines or the agent.
"""
