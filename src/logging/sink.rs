//! Where log lines go, within bounds and without waiting.

use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::os::fd::{AsRawFd, RawFd};
use std::time::{Duration, Instant};

use log::Level;
use nix::poll::{PollFd, PollFlags, poll};

/// Standard stream that takes a process's log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output.
    Output,
    /// Standard error.
    Error,
}

/// Lines of one second up to which all are written. An owner at the size to design for, 380 starts
/// a second, writes about 1,500.
const MAX_LINES_PER_SECOND: u32 = 4_000;

/// Part of these buffered for warnings and errors.
const RESERVED_FOR_WARNINGS: u32 = 1_000;

/// Bytes that a pipe takes in one call as soon as it is ready.
const PIPE_BYTES: usize = 4_096;

thread_local! {
    static LIMITER: Cell<RateLimiter> = const { Cell::new(RateLimiter { window_start: None, lines: 0, dropped: 0 }) };
    static BUFFER: RefCell<Buffer> =
        const { RefCell::new(Buffer { stream: None, text: String::new(), lines: 0 }) };
}

/// Lines of one thread that wait to be written together.
#[derive(Debug)]
struct Buffer {
    /// Where they go; `None` while lines are not buffered.
    stream: Option<Stream>,
    text: String,
    /// How many there are, those included that were left out and are told of.
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

/// Keeps the lines that this thread logs to `stream` until [`flush`] is called or a pipe would not take
/// more at once. Each write costs an instance a good part of what a decision does.
pub fn buffer_lines(stream: Stream) {
    BUFFER.with_borrow_mut(|buffer| buffer.stream = Some(stream));
}

/// Writes the lines that this thread has buffered.
pub fn flush() {
    // A panic in the midst of a log line comes here as well.
    BUFFER.with(|buffer| {
        if let Ok(mut buffer) = buffer.try_borrow_mut() {
            buffer.write();
        }
    });
}

/// What was written and left out in the present second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimiter {
    window_start: Option<Instant>,
    lines: u32,
    dropped: u64,
}

impl RateLimiter {
    /// Counts a line of `level` at `now`. Whether it is written, and how many lines were left out
    /// before it that have not been spoken of.
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

    /// Counts lines that could not be written after all, those included that were to be spoken of.
    pub const fn count_dropped(&mut self, lines: u64) {
        self.dropped += lines;
    }
}

/// Writes one line, or counts it as left out.
///
/// Guards against a reader of the stream that has stopped reading: the pipe fills up, and a write
/// would hold every decision of the process until somebody reads. A line that does not fit is left
/// out, and the next one that does says how many were.
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

/// Writes `text` in one call, so that lines of several threads do not mix. A pipe that is ready
/// takes 4 KiB at once; longer lines are cut by [`super::value`] before.
///
/// A stream that is closed takes nothing any more; the line is lost and the process goes on.
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
