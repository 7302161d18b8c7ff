"""Reports on jobs without progress: which jobs, for how long, and the state of the sidecars."""

from __future__ import annotations

import base64
import random
import re

import msgspec

from eiderhub.batch.jobs import BatchLimits, JobTable
from eiderhub.batch.messages import ItemKey, Reach, ReturnReason
from eiderhub.batch.progress import IDLE_JOB_S, ProgressMonitor
from eiderhub.batch.scheduler import Scheduler
from eiderhub.metric_lines import metric_line
from eiderhub.storage.store import MemoryStore
from tests.outside_input import any_text

SUBMITTED_AT = 1_000.0
LIMITS = BatchLimits("lots", 8.0, 40.0, 3, 0.0)


def job_table(*jobs: str) -> JobTable:
    result = JobTable(MemoryStore())
    for job in jobs:
        item = {"id": f"{job}i", "path": "/", "tokens": 1, "body": base64.b64encode(b"b").decode()}
        result.submit(SUBMITTED_AT, job, LIMITS, msgspec.json.encode({"requests": [item]}))
        result.mark_committed(job)
    return result


def test_job_is_reported_after_a_time_without_progress() -> None:
    table, monitor = job_table("a", "b"), ProgressMonitor()
    monitor.refresh(0.0, SUBMITTED_AT, table)
    table.jobs["b"].starts += 1
    monitor.refresh(1.0, SUBMITTED_AT + LIMITS.window_s + 1.0, table)
    assert monitor.idle_jobs(IDLE_JOB_S - 0.1) == []
    idle = monitor.idle_jobs(IDLE_JOB_S)
    assert [(idle_job.job, idle_job.late) for idle_job in idle] == [("a", True)]
    assert [idle_job.job for idle_job in monitor.idle_jobs(1.0 + IDLE_JOB_S)] == ["a", "b"]
    assert (
        "jobs without progress: 1, 1 of them late; longest a for 2.0 s; 2 items waiting"
        in monitor.summary(2.0)
    )
    assert 'job_idle_s{job="a",late="1"} 2.0' in monitor.metric_lines(2.0)
    assert "jobs_idle 1" in monitor.metric_lines(2.0)


def test_ended_job_is_not_reported() -> None:
    table, monitor = job_table("a"), ProgressMonitor()
    monitor.refresh(0.0, SUBMITTED_AT, table)
    table.end("a")
    monitor.refresh(9.0, SUBMITTED_AT, table)
    assert monitor.summary(9.0) == ""


def test_scheduler_status_counts_sidecars_and_returns_by_reason() -> None:
    scheduler = Scheduler(lambda node: 99 if node == "c" else 0)
    for node in ("a", "b", "c"):
        scheduler.add_worker(0.0, node, "z", Reach.UNKNOWN)
    scheduler.item_returned(1.0, "a", ItemKey("j", "i"), "lots", ReturnReason.STUCK)
    scheduler.item_returned(1.0, "b", ItemKey("j", "k"), "lots", ReturnReason.REFUSED)
    text = str(scheduler.status(1.0))
    assert text == "3 sidecars, 2 paused, 1 full, 1 stuck; returned: stuck 1, refused 1"
    scheduler.reset()
    assert str(scheduler.status(9.0)).endswith("returned: none")


def parse_labels(line: str) -> dict[str, str]:
    """The labels of a metric's line, as the text format of Prometheus defines them."""
    labels = re.findall(r'(\w+)="((?:[^"\\\n]|\\.)*)"[,}]', line)
    unescaped = {"\\n": "\n", "\\r": "\r", '\\"': '"', "\\\\": "\\"}
    return {name: re.sub(r"\\.", lambda found: unescaped[found[0]], text) for name, text in labels}


def test_names_from_outside_are_whole_in_the_labels_of_a_line() -> None:
    """Guards against a name with a quote or a line end, which becomes other metrics to whoever reads them."""
    rng = random.Random(1)
    special = ('a"b', "a\nleads 1", "a\\", 'x",job="y', "a\r\nb", "")
    for text in (*special, *(any_text(rng) for _ in range(300))):
        line = metric_line("item_held_s", "1.0", job=text, item="i")
        assert "\n" not in line and "\r" not in line
        assert parse_labels(line) == {"job": text, "item": "i"}
        assert line.endswith("} 1.0")


def test_job_with_a_quote_in_its_id_is_reported_under_it() -> None:
    """Guards against a report of a job in a form that no reader of metrics understands."""
    job = 'a",late="0'
    table, monitor = job_table(job), ProgressMonitor()
    monitor.refresh(0.0, SUBMITTED_AT + LIMITS.window_s + 1.0, table)
    lines = monitor.metric_lines(1.0 + IDLE_JOB_S)
    (line,) = [line for line in lines if line.startswith("job_idle_s")]
    assert parse_labels(line) == {"job": job, "late": "1"}
