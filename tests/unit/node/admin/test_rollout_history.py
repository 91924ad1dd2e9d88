"""The history of rollouts is a bounded series of samples."""

import msgspec

from springmux.node.admin.rollout_history import MAX_SAMPLES, RolloutHistory
from springmux.rollout.plan import RolloutPhase
from springmux.rollout.status import EvidenceSummary, RolloutStatus
from springmux.vocabulary.names import RolloutId, ServiceName, VersionName

RUNNING = RolloutStatus(
    service=ServiceName("text"),
    rollout=RolloutId("r"),
    stable=VersionName("v1"),
    candidate=VersionName("v2"),
    phase=RolloutPhase.CANARY,
    weight=0.04,
    zone_weight=0.04,
    elapsed_s=1.0,
    prompts=100,
    sent=4,
    credits=1,
    lease_age_s=0.1,
    evidence=EvidenceSummary(),
    aborted=False,
    decision=None,
)


def test_history_is_bounded_and_an_ended_rollout_is_sampled_once() -> None:
    history = RolloutHistory()
    for number in range(MAX_SAMPLES + 5):
        history.add("text", RUNNING, float(number))
    done = msgspec.structs.replace(RUNNING, phase=RolloutPhase.DONE, weight=1.0)
    for number in range(3):
        history.add("text", msgspec.structs.replace(done, lease_age_s=float(number)), 9000.0 + number)
    samples = history.samples_of("text").samples
    assert len(samples) == MAX_SAMPLES
    assert [sample.status["phase"] for sample in samples[-2:]] == ["canary", "done"]
    assert history.samples_of("none").samples == ()
