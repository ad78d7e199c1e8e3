//! The executor: one for the process, driven by a thread per core.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use futures_lite::FutureExt as _;
use smol::{Executor, Task, Timer};

static EXECUTOR: Executor<'static> = Executor::new();

/// Starts worker threads; 0 starts one for each core.
///
/// # Panics
/// When the system gives no thread, without which nothing can run.
pub fn start(threads: usize) {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let threads = if threads == 0 { cores } else { threads };
    for index in 0..threads {
        thread::Builder::new()
            .name(format!("worker-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(std::future::pending::<()>())))
            .expect("the system gives threads");
    }
}

/// Runs a future on the worker threads; dropping the task cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Waits for a future, but not longer than `limit`; `None` when the time is over.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let value = async { Some(future.await) };
    let timer = async {
        Timer::after(limit).await;
        None
    };
    value.or(timer).await
}

/// Locks a mutex; what it guards is valid between any two statements, so a panic left it usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
