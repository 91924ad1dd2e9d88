"""The clients' listener: complete requests, one request runner each, exchanges with engines."""
