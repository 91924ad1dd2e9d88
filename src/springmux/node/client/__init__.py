"""The clients' listener: requests read whole, one request runner each, exchanges with back ends."""
