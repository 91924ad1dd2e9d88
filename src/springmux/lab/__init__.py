"""Stand-in engines, services, load clients and operators; experiments, reports and benchmarks."""
