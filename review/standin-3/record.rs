//! What was sent, answered and run, with the time since the start of the script.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { begun: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn note(&self, line: &str) {
        let seconds = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {line}");
    }
}
