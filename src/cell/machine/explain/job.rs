//! The report about one job.

use super::super::{ActiveRun, Machine, Stage};
use super::history::{JobHistory, PastAttempt, RefusedCall};
use super::reason::Reason;
use crate::cell::explain::{Attempt, JobReport, Refusal, RunningAttempt, Wait};
use crate::cell::job::{Id, Run, StepKey};
use crate::cell::job_state::{JobState, StepState};
use crate::clock::{Instant, millis};

/// Waiting steps that are explained; each of them is compared with all workers.
const MAX_WAITS: usize = 8;

/// Attempts in progress that are listed.
const MAX_RUNNING: usize = 16;

/// Steps that are examined for whether they wait.
const MAX_STEPS: usize = 512;

impl Machine {
    /// Reports on a job; `None` if it is neither known nor among the refused calls.
    pub(super) fn job_report(&self, id: Id) -> Option<JobReport> {
        let entry = self.state.jobs.get(&id);
        let history = self.history.of(&id);
        let refusal = self.history.refusal(&id);
        if entry.is_none() && history.is_none() && refusal.is_none() {
            return None;
        }
        let mut report =
            JobReport { job: id.to_string(), office: self.office(), ..JobReport::default() };
        report.refusal = refusal.map(|refusal| self.refusal_report(refusal));
        if let Some(history) = history {
            self.add_history(&mut report, history);
        }
        match entry {
            Some(entry) => self.add_job(&mut report, id, entry),
            None if history.is_some() => {
                report.state = "forgotten".to_owned();
                report.summary = "the job has ended and its retention is over".to_owned();
            }
            None => {
                report.state = "refused".to_owned();
                report.customer =
                    refusal.and_then(|refusal| refusal.customer.as_deref().map(str::to_owned));
                report.summary = report.refusal.as_ref().map(refusal_summary).unwrap_or_default();
            }
        }
        Some(report)
    }

    fn add_job(&self, report: &mut JobReport, id: Id, entry: &JobState) {
        let phase = entry.phase();
        report.state = phase.name().to_owned();
        report.queue = Some(entry.job.queue.clone());
        report.customer = entry.job.customer.as_deref().map(str::to_owned);
        let until = entry.ended.unwrap_or(self.unix);
        report.age_ms = Some(millis(until.since(entry.accepted)));
        if phase.is_final() {
            report.summary = end_summary(report);
            return;
        }
        let queue = self.config.queue(&entry.job.queue);
        report.objective_ms =
            queue.map(|queue| self.expected_objective_ms(&entry.job, queue) as u64);
        self.add_waits(report, id, entry);
        let runs = self.runs_of_job(id).filter_map(|run| Some((run, self.runs.get(run)?)));
        report.running_count = self.runs_of_job(id).count();
        report.running =
            runs.take(MAX_RUNNING).map(|(run, active)| self.running_attempt(run, active)).collect();
        report.summary = open_summary(report);
    }

    fn add_waits(&self, report: &mut JobReport, id: Id, entry: &JobState) {
        let mut pending = Vec::new();
        let failing = self.add_pending_steps(id, &mut pending);
        if failing.is_some() {
            pending.clear();
        }
        let keys: Vec<StepKey> = pending.iter().map(|step| step.key).collect();
        let mut blocked = self.blocked_steps(id, entry, &keys);
        report.more_waits = (pending.len() + blocked.len()).saturating_sub(MAX_WAITS);
        pending.sort_by_key(|step| (step.rank, step.key));
        if !pending.is_empty() {
            let examined = self.examined_steps();
            let first = pending.iter().take(MAX_WAITS);
            report.waits = first.map(|step| self.wait_of(step, &examined)).collect();
        }
        blocked.truncate(MAX_WAITS - report.waits.len());
        report.waits.extend(blocked);
    }

    /// Steps that wait although none of their tasks may be placed now.
    fn blocked_steps(&self, id: Id, entry: &JobState, pending: &[StepKey]) -> Vec<Wait> {
        let mut waits = Vec::new();
        let is_known = self.config.queue(&entry.job.queue).is_some();
        for (occurrence, steps) in &entry.open {
            for (number, step) in steps.iter().enumerate().take(MAX_STEPS) {
                let key = StepKey { job: id, occurrence: *occurrence, step: number as u32 };
                let Some(reason) = blocked_reason(entry, steps, number, step, is_known) else {
                    continue;
                };
                if pending.contains(&key) {
                    continue;
                }
                let waiting = step.tasks.indexes(|task| task.live == 0 && !task.done);
                let name = format!("{occurrence}.{number}");
                waits.push(self.blocked_wait(id, name, waiting.len(), reason));
            }
        }
        let next = entry
            .unopened()
            .next()
            .map(|next| (next, entry.job.due_at(next).filter(|due| *due > self.unix)));
        if let Some((next, due)) = next
            && (entry.open.is_empty() || due.is_none())
        {
            let reason = if is_known { Reason::NextRound } else { Reason::QueueUnknown };
            let reason = due.map_or(reason, |_| Reason::NotDue);
            let tasks = entry.job.steps.first().map_or(0, |step| step.count as usize);
            let mut wait = self.blocked_wait(id, format!("{next}.0"), tasks, reason);
            wait.earliest_start_ms = due.map(|due| millis(due.since(self.unix)));
            waits.push(wait);
        }
        waits
    }

    fn running_attempt(&self, run: &Run, active: &ActiveRun) -> RunningAttempt {
        let stage = match active.stage {
            Stage::Recording => "recording",
            Stage::Starting { .. } => "starting",
            Stage::Running(_) => "running",
            Stage::Recovered => "recovered",
            Stage::Stopping { .. } => "stopping",
        };
        let worker = self.workers.get(&active.worker);
        let conditions =
            worker.map_or_else(|| vec!["not_listed"], |worker| self.conditions(worker));
        RunningAttempt {
            run: format!("{}.{}#{}", run.task.step.step, run.task.index, run.number),
            worker: active.worker.to_string(),
            stage: stage.to_owned(),
            age_ms: self.age_ms(active.since),
            starts_sent: active.starts_sent,
            percent: active.progress.0,
            condition: if conditions.is_empty() { "ok".to_owned() } else { conditions.join(",") },
        }
    }

    fn add_history(&self, report: &mut JobReport, history: &JobHistory) {
        let counts = history.counts();
        report.attempt_counts =
            counts.map(|(outcome, count)| (outcome.name().to_owned(), u64::from(count))).collect();
        report.attempts =
            history.attempts.iter().map(|attempt| self.attempt_report(attempt)).collect();
        report.preemptions = u64::from(history.preemptions);
        report.objective_ms = history.end.map(|(_, objective_ms)| objective_ms);
        report.age_ms = history.end.map(|(took_ms, _)| took_ms);
    }

    fn attempt_report(&self, attempt: &PastAttempt) -> Attempt {
        let run = attempt.run;
        Attempt {
            run: format!("{}.{}#{}", run.task.step.step, run.task.index, run.number),
            worker: attempt.worker.to_string(),
            outcome: attempt.outcome.name().to_owned(),
            took_ms: u64::from(attempt.took_ms),
            ended_ago_ms: self.age_ms(attempt.ended),
            preempted_for: attempt.preempted_for.map(|step| step.to_string()),
        }
    }

    fn refusal_report(&self, refusal: &RefusedCall) -> Refusal {
        Refusal {
            reason: refusal.reason.to_string(),
            cause: refusal.reason.cause().to_owned(),
            age_ms: self.age_ms(refusal.at),
            count: refusal.count,
            retry_after_ms: refusal.retry_after_ms,
        }
    }

    pub(super) fn age_ms(&self, at: Instant) -> u64 {
        millis(self.now.since(at))
    }
}

/// Why none of a step's tasks may be placed; `None` if it does not wait.
fn blocked_reason(
    entry: &JobState,
    steps: &[StepState],
    number: usize,
    step: &StepState,
    is_known: bool,
) -> Option<Reason> {
    let spec = entry.job.steps.get(number)?;
    if step.is_done() || !step.tasks.any(|task| task.live == 0 && !task.done) {
        return None;
    }
    if !is_known {
        return Some(Reason::QueueUnknown);
    }
    if !spec.depends_on.iter().all(|&earlier| steps[earlier].is_done()) {
        return Some(Reason::EarlierStep);
    }
    (spec.gang && step.is_live()).then_some(Reason::EarlierAttempt)
}

fn open_summary(report: &JobReport) -> String {
    if let Some(wait) = report.waits.first() {
        return format!("step {} waits ({}): {}", wait.step, wait.reason, wait.cause);
    }
    let of_stage = |stage: &str| report.running.iter().filter(|run| run.stage == stage).count();
    let recording = of_stage("recording");
    if recording > 0 {
        return format!("{recording} placed tasks wait for the store");
    }
    let starting: Vec<&RunningAttempt> =
        report.running.iter().filter(|run| run.stage == "starting").collect();
    if let Some(run) = starting.first() {
        return format!(
            "{} placed tasks have not started; the worker {} ({}) was sent {} start commands",
            starting.len(),
            run.worker,
            run.condition,
            run.starts_sent
        );
    }
    format!("all tasks that may start run ({} attempts)", report.running_count)
}

fn end_summary(report: &JobReport) -> String {
    let took = report.age_ms.unwrap_or_default();
    let objective = match report.objective_ms {
        Some(objective) if took <= objective => format!(", within its objective of {objective} ms"),
        Some(objective) => format!(", later than its objective of {objective} ms"),
        None => String::new(),
    };
    let preempted = match report.preemptions {
        0 => String::new(),
        count => format!("; {count} attempts were stopped for more urgent steps"),
    };
    format!(
        "the job {} {took} ms after it was accepted{objective}{preempted}",
        match &*report.state {
            "completed" => "completed",
            "cancelled" => "was cancelled",
            _ => "failed",
        }
    )
}

fn refusal_summary(refusal: &Refusal) -> String {
    let retry = match refusal.retry_after_ms {
        Some(retry) => format!("; the caller was told to return after {retry} ms"),
        None => String::new(),
    };
    format!("the call was refused and nothing ran: {}{retry}", refusal.cause)
}
