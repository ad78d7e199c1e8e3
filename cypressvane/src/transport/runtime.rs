//! The process-wide executor and its worker threads.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use futures_lite::FutureExt as _;
use smol::{Executor, Task, Timer};

static EXECUTOR: Executor<'static> = Executor::new();

/// Starts the worker threads; 0 starts one per core.
///
/// # Panics
/// Panics if the system cannot create a thread, since nothing can run without one.
pub fn start(threads: usize) {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let threads = if threads == 0 { cores } else { threads };
    for index in 0..threads {
        thread::Builder::new()
            .name(format!("worker-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(std::future::pending::<()>())))
            .expect("the system can create a thread");
    }
}

/// Runs a future on the worker threads; dropping the task cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Waits for a future for at most `limit`; `None` on a timeout.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let value = async { Some(future.await) };
    let timer = async {
        Timer::after(limit).await;
        None
    };
    value.or(timer).await
}

/// Locks a mutex, poisoned or not: the data is valid between any two statements, so a panic leaves it usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
