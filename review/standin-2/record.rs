//! What was sent, answered and run, written to `record.txt`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines of one kind that are written; more of them are only counted.
const MAX_ALIKE: u64 = 400;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    counts: Mutex<BTreeMap<String, u64>>,
    /// Starts of each task: worker, run, and how it ended.
    runs: Mutex<BTreeMap<String, Vec<(String, u64, Option<String>)>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            begun: Instant::now(),
            file: Mutex::new(File::create(path).expect("a record")),
            counts: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let at = self.seconds();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {line}");
    }

    /// Notes a line of a kind of which there may be many.
    pub fn note_kind(&self, kind: &str, line: &str) {
        let mut counts = self.counts.lock().unwrap();
        let count = counts.entry(kind.to_owned()).or_insert(0);
        *count += 1;
        if *count <= MAX_ALIKE {
            self.note(&format!("{kind} {line}"));
        }
    }

    pub fn started(&self, worker: &str, task: &str, run: u64, fence: u64) {
        self.note_kind("start", &format!("{task} run {run} on {worker}, token {fence}"));
        let mut runs = self.runs.lock().unwrap();
        runs.entry(task.to_owned()).or_default().push((worker.to_owned(), run, None));
    }

    pub fn ended(&self, worker: &str, task: &str, how: &str) {
        self.note_kind("end", &format!("{task} on {worker}: {how}"));
        let mut runs = self.runs.lock().unwrap();
        let of_task = runs.entry(task.to_owned()).or_default();
        if let Some(run) = of_task.iter_mut().rev().find(|run| run.0 == worker && run.2.is_none()) {
            run.2 = Some(how.to_owned());
        }
    }

    /// Starts of the tasks of a job, and how many of them ended that way.
    pub fn runs_of(&self, job: &str) -> Vec<(String, String, u64, Option<String>)> {
        let runs = self.runs.lock().unwrap();
        let of_job = runs.iter().filter(|(task, _)| task.starts_with(job));
        let flat = of_job.flat_map(|(task, runs)| {
            runs.iter().map(|(worker, run, how)| (task.clone(), worker.clone(), *run, how.clone()))
        });
        flat.collect()
    }

    pub fn totals(&self) {
        let counts = self.counts.lock().unwrap().clone();
        for (kind, count) in counts {
            self.note(&format!("in all: {kind} {count}"));
        }
    }
}
