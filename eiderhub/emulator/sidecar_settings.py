"""Start-up settings of a sidecar (WIRE), built from the scenario."""

from __future__ import annotations

from typing import Any

from eiderhub.world.day import Day, SidecarPlan


def build_sidecar_settings(day: Day, sidecar_plan: SidecarPlan) -> dict[str, Any]:
    """The settings object for one sidecar: times in microseconds, names as in the platform's JSON."""
    scenario = day.scenario
    allowed, rules, goal = scenario.allowed, scenario.rules, scenario.goal
    kinds = [kind.name for kind in scenario.tier[sidecar_plan.tier].kind]
    return {
        "Allowed": {
            "ConnIdleUs": int(allowed.idle_s * 1e6),
            "ConnectTimeoutUs": int(allowed.connect_timeout_ms * 1000),
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 500_000,
            "MaxAttempts": allowed.max_attempts,
            "MaxOpen": 20_000,
            "MaxRetryAfterUs": int(allowed.max_retry_after_ms * 1000),
            "MayCancel": True,
            "Multiplex": 1,
            "Peers": False,
            "Probing": False,
            "RetryAfter": allowed.retry_after,
            "SecondCopies": allowed.second_copies,
        },
        "Balancers": sidecar_plan.sidecars_in_tier,
        "Categories": [
            {
                "AimUs": request_class.aim_us,
                "Credit": request_class.spec.worth,
                "DeadlineUs": request_class.deadline_us,
                "DedupWindowUs": int(request_class.spec.window_ms * 1000),
                "Effect": request_class.spec.effect.value,
                "Group": request_class.spec.group.value,
                "LateShare": request_class.spec.late_worth,
                "Name": request_class.name,
                "Streaming": False,
            }
            for request_class in day.request_classes
        ],
        "Charges": {
            "CrossRegion": goal.cross_region,
            "CrossZone": goal.cross_zone,
            "LateFail": goal.late_fail,
            "Waste": goal.waste,
        },
        "Clients": {"MarksRetry": scenario.clients.marks_retry},
        "Discovery": scenario.discovery.mode,
        "Family": "chain",
        "FamilyInfo": {"PassesDeadline": True},
        "Goal": {
            "Whole": goal.whole,
            "WorstClass": goal.worst_class,
            "WorstTenant": goal.worst_tenant,
            "WorstWindow": goal.worst_window,
        },
        "Kinds": kinds,
        "Layer": sidecar_plan.tier,
        "Localities": scenario.zones,
        "MyZone": sidecar_plan.zone,
        "ZoneVerdicts": True,
        "OverShareWorth": goal.over_share_worth,
        "Parties": [
            {"Name": tenant.name, "QuotaPerS": tenant.quota_per_s, "Share": tenant.share}
            for tenant in day.tenants
        ],
        "Rank": sidecar_plan.rank,
        "Report": {"Fields": [], "How": "none"},
        "Rules": {
            "AnswerSlackUs": int(rules.answer_slack_ms * 1000),
            "AskEveryUs": int(rules.ask_every_s * 1e6),
            "ColdFrom": rules.cold_from,
            "ColdUs": int(rules.cold_s * 1e6),
            "DrainGraceUs": int(rules.drain_grace_ms * 1000),
            "FallUs": int(rules.fall_ms * 1000),
            "OverloadFactor": rules.overload_factor,
        },
        "StepUs": 5000,
        "Tiers": [tier.name for tier in scenario.tier],
        "Weights": "none",
        "WorthBy": "request",
    }
