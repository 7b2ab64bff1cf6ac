//! Test doubles and daemons as separate processes, for runs that kill and pause them.

use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};
use std::io::{self, BufRead, BufReader};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// An error when a process is started or controlled.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The process could not be started, signalled or waited for.
    #[snafu(display("cannot start or control process {name}"))]
    Run {
        /// Name of the process.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// The process did not print the URL that it listens at.
    #[snafu(display("process {name} did not print the URL that it listens at"))]
    NoUrl {
        /// Name of the process.
        name: String,
    },
}

/// Starts processes from one program file.
#[derive(Debug)]
pub struct Launcher {
    program: PathBuf,
    folder: PathBuf,
}

impl Launcher {
    /// Creates a launcher that runs `program` and writes settings and log files to `folder`.
    #[must_use]
    pub fn new(program: &Path, folder: &Path) -> Self {
        Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
        }
    }

    /// Runs the subcommand `kind` with settings and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] if it does not start.
    pub fn start(&self, kind: &str, name: &str, settings: &Value) -> Result<Process, ProcessError> {
        let run = || RunSnafu { name };
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).with_context(|_| run())?;
        let log = std::fs::File::create(self.folder.join(format!("{name}.log")));
        let mut child = Command::new(&self.program)
            .arg(kind)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(log.with_context(|_| run())?)
            .spawn()
            .with_context(|_| run())?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output)
                .read_line(&mut line)
                .with_context(|_| run())?;
        }
        let mut process = Process {
            name: name.to_owned(),
            child,
            url: String::new(),
        };
        let url = line
            .trim()
            .strip_prefix("listening at ")
            .context(NoUrlSnafu { name })?;
        url.clone_into(&mut process.url);
        Ok(process)
    }
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    url: String,
}

impl Process {
    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] if it cannot be killed.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        let name = &self.name;
        self.child.kill().context(RunSnafu { name })?;
        self.child.wait().context(RunSnafu { name })?;
        Ok(())
    }

    /// Sends a signal by its name, such as `STOP`.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] if the signal cannot be sent.
    pub fn signal(&self, signal: &str) -> Result<(), ProcessError> {
        let name = &self.name;
        Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status()
            .context(RunSnafu { name })?;
        Ok(())
    }

    /// Waits for the process to end and returns its exit code.
    ///
    /// # Errors
    ///
    /// Returns a [`ProcessError`] if it cannot be waited for.
    pub fn wait(&mut self) -> Result<Option<i32>, ProcessError> {
        let name = &self.name;
        let status = self.child.wait().context(RunSnafu { name })?;
        Ok(status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address that is free now, so that a process can be restarted at it.
///
/// # Errors
///
/// Returns the system's error if no port can be bound.
pub fn free_address() -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}
