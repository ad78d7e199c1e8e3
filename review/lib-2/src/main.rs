//! The cases of the second review: `review-2 CASE ROOT TEMPORARY RECORD`.

mod born;
mod client;
mod drain;
mod engine;
mod http;
mod joined;
mod json;
mod promise;
mod rollout;
mod site;
mod store;

use std::fs::File;
use std::io::Write as _;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::Folder;

/// Writes what happens to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Option<Arc<Mutex<File>>>,
    start: Instant,
}

impl Record {
    pub fn silent() -> Record {
        Record { file: None, start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        if let Some(file) = &self.file {
            let at = self.start.elapsed().as_secs_f64();
            // A record that cannot be written shows in the case's folder.
            let _ = writeln!(file.lock().expect("no panic"), "{at:8.3} {text}");
        }
    }
}

/// What a case needs.
pub struct Setting {
    pub folder: Folder,
    pub record: Record,
    /// Whether the disruption comes.
    pub trouble: bool,
}

/// The processes that were started and have not ended.
pub static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest run of a case.
const LONGEST: Duration = Duration::from_secs(110);

/// Ends the run of a case that cannot be played, and all processes that it started.
pub fn cannot_run() -> ! {
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for id in started {
        // One that has ended already is no fault.
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    std::process::exit(2);
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, temporary, record] = &arguments[..] else { cannot_run() };
    let file = File::create(record).unwrap_or_else(|_| cannot_run());
    let setting = Setting {
        folder: Folder { root: PathBuf::from(root), temporary: PathBuf::from(temporary) },
        record: Record { file: Some(Arc::new(Mutex::new(file))), start: Instant::now() },
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let record = setting.record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        record.line("the case takes too long");
        cannot_run();
    });
    let is_kept = match case.as_str() {
        "born" => born::play(&setting),
        "promise" => promise::play(&setting),
        "drain" => drain::play(&setting),
        "rollout" => rollout::play(&setting),
        "joined" => joined::play(&setting),
        _ => cannot_run(),
    };
    let verdict = if is_kept { "the rule was kept" } else { "the rule was broken" };
    setting.record.line(verdict);
    println!("{case}: {verdict}");
    std::process::exit(i32::from(!is_kept));
}
