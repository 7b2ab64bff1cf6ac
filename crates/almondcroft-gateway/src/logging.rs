//! Logs: one line of `key=value` pairs on standard output for each event.
//!
//! Lines pass through a bounded queue to a thread of their own, so that a stalled reader never
//! blocks a request. Lines that find the queue full are dropped and counted, and the next line that
//! fits is followed by the count.

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 2_048;

/// Writes the pairs of a record, with a time stamp and the event first.
#[derive(Debug, Default)]
struct EventLayout;

struct Pairs(String);

impl logforth::kv::Visitor for Pairs {
    fn visit(
        &mut self,
        key: logforth::kv::KeyView<'_>,
        value: logforth::kv::ValueView<'_>,
    ) -> Result<(), Error> {
        let value = value.to_string();
        let quoted = value.is_empty() || value.contains([' ', '=', '"', '\n', '\r']);
        let key = key.as_str();
        let written = if quoted {
            write!(self.0, " {key}={value:?}")
        } else {
            write!(self.0, " {key}={value}")
        };
        written.map_err(|error| Error::new(error.to_string()))
    }
}

impl Layout for EventLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let stamp = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut pairs = Pairs(format!(
            "time={}.{:03} level={}",
            stamp.as_secs(),
            stamp.subsec_millis(),
            record.level().name()
        ));
        record.key_values().visit(&mut pairs)?;
        pairs.0.push('\n');
        Ok(pairs.0.into_bytes())
    }
}

#[derive(Debug)]
struct BoundedStdout {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl BoundedStdout {
    fn start() -> std::io::Result<Self> {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&receiver))?;
        Ok(Self {
            lines,
            dropped: AtomicU64::new(0),
        })
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout().lock();
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < 16 * 1024
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        // A failure of standard output cannot be reported anywhere.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = EventLayout.format(record, diags)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.extend_from_slice(format!("event=log-dropped count={dropped}\n").as_bytes());
        }
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Sends log records to standard output, once per process.
pub(crate) fn init() {
    let output = match BoundedStdout::start() {
        Ok(output) => output,
        Err(error) => {
            eprintln!("event=log-failed error={error:?}");
            return;
        }
    };
    let installed = logforth::core::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(installed))).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
