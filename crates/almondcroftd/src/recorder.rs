//! Records routing events to a file.

use almondcroft_core::trace::{TraceHeader, TraceLine};
use serde::Serialize;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;

/// Writes events to a file, one JSON object per line.
#[derive(Debug)]
pub(crate) struct Recorder(Mutex<BufWriter<File>>);

impl Recorder {
    pub(crate) fn create(path: &Path, header: &TraceHeader) -> io::Result<Self> {
        let recorder = Self(Mutex::new(BufWriter::new(File::create(path)?)));
        recorder.write(header);
        Ok(recorder)
    }

    /// Records one event; a write error is only logged.
    pub(crate) fn record(&self, line: &TraceLine) {
        self.write(line);
    }

    fn write(&self, value: &impl Serialize) {
        let mut file = crate::app::lock(&self.0);
        let written = serde_json::to_writer(&mut *file, value)
            .map_err(io::Error::from)
            .and_then(|()| file.write_all(b"\n"))
            .and_then(|()| file.flush());
        if let Err(error) = written {
            log::warn!(event = "record-failed", error:% = error; "");
        }
    }
}
