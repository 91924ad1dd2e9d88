"""The built-in rollout template ``standard``."""

from __future__ import annotations

from typing import Any

from springmux.rollout.planning.template import (
    STANDARD_TEMPLATE_NAME,
    Parameter,
    ParameterType,
    RolloutTemplate,
)


def _standard(name: str, kind: ParameterType, description: str, **bounds: Any) -> Parameter:
    return Parameter(name=name, type=kind, description=description, **bounds)


STANDARD_TEMPLATE = RolloutTemplate(
    name=STANDARD_TEMPLATE_NAME,
    description="A low canary for most of by_s, then 10, 25, 50 and 100%.",
    parameters=(
        _standard("service", ParameterType.STRING, "service to roll out"),
        _standard("candidate", ParameterType.STRING, "new version, already loaded beside the stable one"),
        _standard(
            "by_s", ParameterType.DURATION, "term of a good rollout", default=60.0, minimum=20, maximum=86_400
        ),
        _standard(
            "expose_share",
            ParameterType.NUMBER,
            "largest share of the service's prompts that a bad version may get",
            default=0.10,
            minimum=0.01,
            maximum=0.10,
        ),
        _standard(
            "rollback_ms",
            ParameterType.INTEGER,
            "time from the fiftieth bad answer to the last prompt sent",
            default=5000,
            minimum=3000,
            maximum=5000,
        ),
        _standard(
            "canary_weight",
            ParameterType.NUMBER,
            "share of the prompts that the canary gets",
            default=0.04,
            minimum=0.001,
            maximum=0.08,
        ),
        _standard("first_zones", ParameterType.ZONES, "tried first; empty: the quietest", default=[]),
        _standard(
            "error_rise",
            ParameterType.NUMBER,
            "rise of the error rate that counts",
            default=0.02,
            minimum=0.001,
            maximum=0.5,
        ),
        _standard(
            "latency_ratio",
            ParameterType.NUMBER,
            "slower first tokens or token gaps that count",
            default=1.5,
            minimum=1.05,
            maximum=10,
        ),
    ),
    plan={
        **{
            name: {"parameter": name}
            for name in (
                "service",
                "candidate",
                "by_s",
                "expose_share",
                "rollback_ms",
                "canary_weight",
                "first_zones",
            )
        },
        "limits": {
            "error_rise": {"parameter": "error_rise"},
            "first_token_ratio": {"parameter": "latency_ratio"},
            "token_gap_ratio": {"parameter": "latency_ratio"},
        },
    },
)
"""Built-in template; operators may add others."""
