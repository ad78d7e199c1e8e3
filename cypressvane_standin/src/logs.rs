//! What the processes and stand-ins of a test log, in files that stay if the test fails.
//!
//! Each line begins with the milliseconds since the test began, so that `sort -n` merges the files of a folder.

use std::cell::RefCell;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;
use std::{env, process, thread};

use cypressvane::clock::Instant;

/// Most bytes in the files of a test; later lines are dropped.
const FOLDER_BYTES_MAX: u64 = 32 << 20;
/// Most folders of ended test programs that are kept; the oldest ones are removed.
const FOLDERS_MAX: usize = 16;

thread_local! {
    /// The folder of the test that runs on this thread.
    static CURRENT: RefCell<Option<Arc<Folder>>> = const { RefCell::new(None) };
}

/// The folder of a test's files.
#[derive(Debug)]
struct Folder {
    path: PathBuf,
    began: Instant,
    /// Number of files so far.
    files: AtomicU32,
    /// Bytes in the files.
    bytes: AtomicU64,
}

/// The logs of a test: removed when this is dropped, unless the test has failed.
#[derive(Debug)]
pub struct Logs {
    folder: Arc<Folder>,
    /// The folder that this one replaces meanwhile.
    outer: Option<Arc<Folder>>,
    is_kept: bool,
}

impl Logs {
    /// Keeps what is logged by everything that this thread starts from now on.
    ///
    /// # Errors
    /// When the folder cannot be made.
    pub fn begin() -> io::Result<Self> {
        Self::begin_in(&root()?)
    }

    /// The same, in a folder in `root`.
    ///
    /// # Errors
    /// When the folder cannot be made.
    pub fn begin_in(root: &Path) -> io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let thread = thread::current();
        let test = thread.name().unwrap_or("unnamed").replace("::", "-");
        let path = root.join(format!("{}-{number}-{test}", process::id()));
        fs::create_dir_all(&path)?;
        remove_old(root)?;
        let folder = Arc::new(Folder {
            path,
            began: Instant::now(),
            files: AtomicU32::new(0),
            bytes: AtomicU64::new(0),
        });
        let outer = CURRENT.replace(Some(Arc::clone(&folder)));
        Ok(Self {
            folder,
            outer,
            is_kept: false,
        })
    }

    /// Keeps the files, although the test goes on; returns their folder.
    pub fn keep(&mut self) -> &Path {
        self.is_kept = true;
        &self.folder.path
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        CURRENT.set(self.outer.take());
        let path = &self.folder.path;
        if self.is_kept || thread::panicking() {
            eprintln!("logs: {}", path.display());
        } else if let Err(error) = fs::remove_dir_all(path) {
            eprintln!("{} stays: {error}", path.display());
        }
    }
}

/// The folder of all tests' folders: in the place for temporary files in the target folder of the running program.
fn root() -> io::Result<PathBuf> {
    let own = env::current_exe()?;
    let profile = own
        .ancestors()
        .find(|folder| folder.join("deps").is_dir())
        .and_then(Path::parent);
    let target = profile.ok_or_else(|| io::Error::other("the program is in no target folder"))?;
    Ok(target.join("tmp").join("logs"))
}

/// Removes the oldest folders of ended test programs beyond [`FOLDERS_MAX`].
fn remove_old(root: &Path) -> io::Result<()> {
    let mut ended: Vec<(SystemTime, PathBuf)> = Vec::new();
    for entry in fs::read_dir(root)? {
        let entry = entry?;
        let name = entry.file_name();
        let id = name.to_str().and_then(|name| name.split('-').next());
        let is_running = id.is_some_and(|id| Path::new("/proc").join(id).exists());
        // Another test program may have removed it meanwhile.
        if !is_running && let Ok(data) = entry.metadata() {
            ended.push((data.modified()?, entry.path()));
        }
    }
    ended.sort();
    let surplus = ended.len().saturating_sub(FOLDERS_MAX);
    for (_, path) in &ended[..surplus] {
        match fs::remove_dir_all(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    Ok(())
}

/// The file of one process or stand-in; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Log(Option<Arc<Opened>>);

#[derive(Debug)]
struct Opened {
    folder: Arc<Folder>,
    file: Mutex<File>,
}

impl Log {
    /// Opens a new file for `source` among the logs of the test on this thread; without such a test, lines are dropped.
    ///
    /// # Errors
    /// When the file cannot be made.
    pub fn open(source: &str) -> io::Result<Self> {
        let Some(folder) = CURRENT.with_borrow(Clone::clone) else {
            return Ok(Self::default());
        };
        let number = folder.files.fetch_add(1, Ordering::Relaxed);
        let file = File::create(folder.path.join(format!("{number:03}-{source}.log")))?;
        let file = Mutex::new(file);
        Ok(Self(Some(Arc::new(Opened { folder, file }))))
    }

    /// Whether lines are kept.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.0.is_some()
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let Some(opened) = &self.0 else {
            return;
        };
        let folder = &opened.folder;
        let at = Instant::now().saturating_duration_since(folder.began);
        let line = format!("{:>7} {line}\n", at.as_millis());
        let before = folder.bytes.fetch_add(line.len() as u64, Ordering::Relaxed);
        if before + line.len() as u64 > FOLDER_BYTES_MAX {
            return;
        }
        let mut file = opened.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(line.as_bytes()) {
            eprintln!("a line of {} is lost: {error}", folder.path.display());
        }
    }
}
