"""Dispatches per second of a service over a sliding window."""

from springmux.node.service_rates import WINDOW_S, ServiceRates


def test_rates_cover_the_window_only() -> None:
    rates = ServiceRates()
    for second in range(200):
        rates.sample(float(second))
        for _ in range(10 if second >= 100 else 1):
            rates.record_dispatch("text")
    assert 9.9 < rates.per_s("text") < 10.1
    assert rates.per_s("none") == 0.0
    assert WINDOW_S < 100
