//! Rate-limited, non-blocking output of log lines.

use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::os::fd::{AsRawFd, RawFd};
use std::time::{Duration, Instant};

use log::Level;
use nix::poll::{PollFd, PollFlags, poll};

/// Standard stream that log lines are written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output.
    Output,
    /// Standard error.
    Error,
}

/// Maximum number of lines that a thread writes in one second. An owner at the design load of 380
/// task starts per second writes about 1,500.
const MAX_LINES_PER_SECOND: u32 = 4_000;

/// Part of [`MAX_LINES_PER_SECOND`] that is reserved for warnings and errors.
const RESERVED_FOR_WARNINGS: u32 = 1_000;

/// Bytes that a pipe accepts in one call without blocking when `poll` reports it writable.
const PIPE_BYTES: usize = 4_096;

thread_local! {
    static LIMITER: Cell<RateLimiter> =
        const { Cell::new(RateLimiter { window_start: None, lines: 0, dropped: 0 }) };
    static BUFFER: RefCell<Buffer> =
        const { RefCell::new(Buffer { stream: None, text: String::new(), lines: 0 }) };
}

/// Lines of one thread that are buffered to be written in one call.
#[derive(Debug)]
struct Buffer {
    /// Stream whose lines are buffered; `None` if buffering is off.
    stream: Option<Stream>,
    text: String,
    /// Number of lines in `text`, plus the dropped lines that its `log.dropped` events report.
    lines: u64,
}

impl Buffer {
    fn add(&mut self, text: &str, lines: u64) {
        if self.text.len() + text.len() > PIPE_BYTES {
            self.write();
        }
        self.text.push_str(text);
        self.lines += lines;
    }

    fn write(&mut self) {
        let lines = std::mem::take(&mut self.lines);
        if let Some(stream) = self.stream
            && !self.text.is_empty()
            && !write_now(stream, &self.text)
        {
            let mut limiter = LIMITER.get();
            limiter.count_dropped(lines);
            LIMITER.set(limiter);
        }
        self.text.clear();
    }
}

/// Buffers the lines that this thread logs to `stream` until [`flush`] is called or the buffer
/// reaches the size that a pipe accepts at once.
///
/// Without the buffer, each line takes one write call, which costs a good part of the time of a
/// scheduling decision.
pub fn buffer_lines(stream: Stream) {
    BUFFER.with_borrow_mut(|buffer| buffer.stream = Some(stream));
}

/// Writes the buffered lines of this thread.
pub fn flush() {
    // The buffer is already borrowed if a panic interrupted a log line of this thread.
    BUFFER.with(|buffer| {
        if let Ok(mut buffer) = buffer.try_borrow_mut() {
            buffer.write();
        }
    });
}

/// Limits the number of lines that a thread writes per second, and counts the dropped lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimiter {
    window_start: Option<Instant>,
    lines: u32,
    dropped: u64,
}

impl RateLimiter {
    /// Counts a line of `level` at `now`.
    ///
    /// Returns whether to write the line, and the number of lines dropped before it that have not
    /// been reported yet.
    ///
    /// ```
    /// use oriolefork::logging::RateLimiter;
    /// use std::time::Instant;
    /// let mut limiter = RateLimiter::default();
    /// assert_eq!(limiter.admit(log::Level::Info, Instant::now()), (true, 0));
    /// ```
    pub fn admit(&mut self, level: Level, now: Instant) -> (bool, u64) {
        if self
            .window_start
            .is_none_or(|window_start| now.duration_since(window_start) >= Duration::from_secs(1))
        {
            self.window_start = Some(now);
            self.lines = 0;
        }
        let reserved = if level <= Level::Warn { 0 } else { RESERVED_FOR_WARNINGS };
        if self.lines >= MAX_LINES_PER_SECOND - reserved {
            self.dropped += 1;
            return (false, 0);
        }
        self.lines += 1;
        (true, std::mem::take(&mut self.dropped))
    }

    /// Counts `lines` that were admitted but could not be written, including the dropped lines that
    /// they would have reported.
    pub const fn count_dropped(&mut self, lines: u64) {
        self.dropped += lines;
    }
}

/// Writes one line, or drops and counts it.
///
/// Guards against a reader that has stopped reading the stream: the pipe fills up, and a blocking
/// write would stop all scheduling in the process. A line that does not fit is dropped, and a
/// `log.dropped` event before the next written line reports how many were.
pub(super) fn write_line(stream: Stream, level: Level, line: &str) {
    let mut limiter = LIMITER.get();
    let (write, dropped) = limiter.admit(level, Instant::now());
    LIMITER.set(limiter);
    if !write {
        return;
    }
    let text = if dropped > 0 {
        format!("level=warn event=log.dropped lines={dropped}\n{line}\n")
    } else {
        format!("{line}\n")
    };
    let lines = dropped + 1;
    let buffered = BUFFER.with_borrow_mut(|buffer| {
        let buffers = buffer.stream == Some(stream);
        if buffers {
            buffer.add(&text, lines);
        }
        buffers
    });
    if !buffered && !write_now(stream, &text) {
        let mut limiter = LIMITER.get();
        limiter.count_dropped(lines);
        LIMITER.set(limiter);
    }
}

fn write_now(stream: Stream, text: &str) -> bool {
    match stream {
        Stream::Output => write_to(&mut io::stdout().lock(), io::stdout().as_raw_fd(), text),
        Stream::Error => write_to(&mut io::stderr().lock(), io::stderr().as_raw_fd(), text),
    }
}

/// Writes `text` in one call, so that lines of several threads do not interleave. Returns whether
/// the stream was ready.
///
/// A writable pipe accepts 4 KiB without blocking; [`super::value`] truncates long values to
/// keep lines short. If the stream is closed, the text is lost without an error.
fn write_to(writer: &mut impl Write, descriptor: RawFd, text: &str) -> bool {
    let mut ready = [PollFd::new(descriptor, PollFlags::POLLOUT)];
    match poll(&mut ready, 0) {
        Ok(count) if count > 0 => {
            let _ = writer.write_all(text.as_bytes());
            let _ = writer.flush();
            true
        }
        _ => false,
    }
}
