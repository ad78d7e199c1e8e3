//! Child processes under test: spawned, signalled, frozen and resumed.

use std::env;
use std::ffi::OsStr;
use std::io::{self, BufRead as _, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cypressvane::clock::Instant;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::logs::Log;

/// Environment variable that makes the processes under test print their logs.
const LOGS_VARIABLE: &str = "CYPRESSVANE_TEST_LOGS";
/// JSON field that only log lines have, not the line in which a process announces its addresses.
const LOG_MESSAGE_FIELD: &str = "msg";
/// Interval at which [`Process::wait`] polls for the exit of a process.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A running process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Value,
    /// The threads that read what the process logs.
    readers: Vec<JoinHandle<()>>,
}

/// Path of the workspace program `name`, in the target folder of the running program.
///
/// # Panics
/// When the program was not built; `cargo test --workspace` builds all programs.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let own = env::current_exe().expect("a running program has a path");
    let folder = own.parent().expect("a program has a parent folder");
    let folder = if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.parent().expect("deps has a parent folder")
    } else {
        folder
    };
    let program = folder.join(name);
    assert!(
        program.exists(),
        "{} is missing: build the whole workspace",
        program.display()
    );
    program
}

/// The lines of a process's output; those that cannot be read end them.
fn lines(output: impl Read) -> impl Iterator<Item = String> {
    BufReader::new(output).lines().map_while(Result::ok)
}

impl Process {
    /// Starts a program and reads the line of JSON that announces its addresses.
    ///
    /// Log lines may precede and follow that line. They are kept with the logs of the test that runs on this thread.
    ///
    /// # Errors
    /// When the program does not start, or ends its output without announcing addresses.
    ///
    /// # Panics
    /// When standard output was not piped, which would be a bug here.
    pub fn spawn<S: AsRef<OsStr>>(name: &str, arguments: &[S]) -> io::Result<Self> {
        let show_logs = env::var_os(LOGS_VARIABLE).is_some();
        let log = Log::open(name)?;
        let is_logged = log.is_open();
        let mut child = Command::new(program(name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(if is_logged {
                Stdio::piped()
            } else if show_logs {
                Stdio::inherit()
            } else {
                Stdio::null()
            })
            .spawn()?;
        let record = move |line: &str| {
            log.add(line);
            if show_logs {
                eprintln!("{line}");
            }
        };
        let mut readers = Vec::new();
        if let Some(errors) = child.stderr.take() {
            readers.push(thread::spawn({
                let record = record.clone();
                move || lines(errors).for_each(|line| record(&line))
            }));
        }
        let mut output = lines(child.stdout.take().expect("standard output is piped"));
        let addresses = output.by_ref().find_map(|line| {
            record(&line);
            let value: Value = serde_json::from_str(&line).ok()?;
            value.get(LOG_MESSAGE_FIELD).is_none().then_some(value)
        });
        let Some(addresses) = addresses else {
            let _ = child.kill();
            let _ = child.wait();
            let message = format!("{name} printed no listen address");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        };
        record(&format!("process {} of {name}", child.id()));
        if show_logs || is_logged {
            readers.push(thread::spawn(move || {
                output.for_each(|line| record(&line));
            }));
        }
        Ok(Self {
            child,
            addresses,
            readers,
        })
    }

    /// The address that the process announced as `name`.
    ///
    /// # Panics
    /// When the process announced no such address.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.addresses[name].as_str().unwrap_or_default();
        text.parse()
            .unwrap_or_else(|_| panic!("no address {name:?} in {}", self.addresses))
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // The signal fails when the process has already ended, which is fine.
            let _ = kill_process(id, signal);
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, on which a host reads its settings again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for reader in self.readers.drain(..) {
            // A reader that has panicked has printed why.
            let _ = reader.join();
        }
    }

    /// Waits for the exit of the process; `None` if it is still running after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(EXIT_POLL);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
