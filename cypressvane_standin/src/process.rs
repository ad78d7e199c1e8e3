//! Processes under test: started by path, stopped by id, frozen and resumed.

use std::env;
use std::ffi::OsStr;
use std::io::{self, BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::Duration;

use cypressvane::clock::Instant;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Set to see what the processes under test log.
const LOGS_VARIABLE: &str = "CYPRESSVANE_TEST_LOGS";
/// The field that tells a log line from what a process says of itself.
const LOG_MESSAGE: &str = "msg";
/// How often a process that should end is looked at.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: Value,
}

/// The program of this workspace with that name, beside the running one.
///
/// # Panics
/// When it was not built: `cargo test --workspace` builds all of them.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let own = env::current_exe().expect("a running program has a path");
    let folder = own.parent().expect("a program stands in a folder");
    let folder = if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.parent().expect("deps stands in a folder")
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

impl Process {
    /// Starts a program and reads the line of JSON in which it says where it listens; log lines may
    /// stand before and after it.
    ///
    /// # Errors
    /// When it does not start or says nothing.
    ///
    /// # Panics
    /// When a pipe that was asked for is not there, which is a fault of the program.
    pub fn spawn<S: AsRef<OsStr>>(name: &str, arguments: &[S]) -> io::Result<Self> {
        let shows_logs = env::var_os(LOGS_VARIABLE).is_some();
        let mut child = Command::new(program(name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(if shows_logs {
                Stdio::inherit()
            } else {
                Stdio::null()
            })
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().expect("it was piped")).lines();
        let ready = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let said: Value = serde_json::from_str(&line).ok()?;
            said.get(LOG_MESSAGE).is_none().then_some(said)
        });
        let Some(ready) = ready else {
            let _ = child.kill();
            let _ = child.wait();
            let message = format!("{name} does not say where it listens");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        };
        if shows_logs {
            thread::spawn(move || {
                for line in lines.map_while(Result::ok) {
                    eprintln!("{line}");
                }
            });
        }
        Ok(Self { child, ready })
    }

    /// The address that it said under `name`.
    ///
    /// # Panics
    /// When it said none.
    #[must_use]
    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.ready[name].as_str().unwrap_or_default();
        text.parse()
            .unwrap_or_else(|_| panic!("no address {name:?} in {}", self.ready))
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // A process that has ended already needs no signal.
            let _ = kill_process(id, signal);
        }
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells it that its settings may have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops it where it is.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Ends it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end; `None` when it has not ended within `limit`.
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
