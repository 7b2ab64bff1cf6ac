//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().expect("the record is usable");
        writeln!(file, "{now:8.3} {text}").expect("the record can be written");
        now
    }
}
