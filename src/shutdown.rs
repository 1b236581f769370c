//! A shutdown flag that any number of tasks can wait for, and the process's signal handlers.

use std::io;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

use local_sync::semaphore::Semaphore;
use monoio::io::AsyncReadRent;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// A shutdown flag that can be set once and wakes all tasks that wait for it.
///
/// All clones share the same flag.
///
/// ```
/// use oriolefork::shutdown::Shutdown;
/// let stop = Shutdown::new();
/// let seen_by_task = stop.clone();
/// stop.trigger();
/// assert!(seen_by_task.is_triggered());
/// ```
#[derive(Clone, Debug)]
pub struct Shutdown {
    // Has no permits. Closing it wakes all present waiters and lets later ones return at once.
    gate: Rc<Semaphore>,
}

impl Shutdown {
    /// Creates a flag that is not set.
    pub fn new() -> Self {
        Self { gate: Rc::new(Semaphore::new(0)) }
    }

    /// Sets the flag. Further calls have no effect.
    pub fn trigger(&self) {
        self.gate.close();
    }

    /// Whether the flag is set.
    pub fn is_triggered(&self) -> bool {
        self.gate.is_closed()
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        let _ = self.gate.acquire().await;
    }

    /// Sets the flag when the process receives SIGTERM or SIGINT.
    ///
    /// Requires a running async runtime on the current thread.
    ///
    /// # Errors
    /// If the signal handlers cannot be installed.
    pub fn trigger_on_signals(&self) -> io::Result<()> {
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        pipe::register(SIGTERM, sender.try_clone()?)?;
        pipe::register(SIGINT, sender)?;
        let mut receiver = monoio::net::UnixStream::from_std(receiver)?;
        let stop = self.clone();
        monoio::spawn(async move {
            let (received, _) = receiver.read(vec![0; 1]).await;
            match received {
                Ok(_) => log::info!("event=shutdown.signal"),
                Err(cause) => log::error!("event=shutdown.signal_lost cause={cause:?}"),
            }
            stop.trigger();
        });
        Ok(())
    }
}

/// Calls `reload` each time the process receives SIGHUP, which terminates a process by default.
///
/// Requires a running async runtime on the current thread.
///
/// # Errors
/// If the signal handler cannot be installed.
pub fn on_hangup(reload: impl Fn() + 'static) -> io::Result<()> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    pipe::register(SIGHUP, sender)?;
    let mut receiver = monoio::net::UnixStream::from_std(receiver)?;
    monoio::spawn(async move {
        loop {
            let (received, _) = receiver.read(vec![0; 1]).await;
            match received {
                Ok(bytes) if bytes > 0 => reload(),
                Ok(_) => return,
                Err(cause) => return log::error!("event=reload.signal_lost cause={cause:?}"),
            }
        }
    });
    Ok(())
}

/// Runs `task` until it completes or `stop` is triggered, whichever comes first.
pub(crate) async fn until(stop: Shutdown, task: impl Future<Output = ()>) {
    monoio::select! {
        () = task => {}
        () = stop.wait() => {}
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}
