//! Decoder of chunked bodies. It needs no memory of its own, and keeps no chunk until it is whole.

use bytes::{Buf, BytesMut};

/// Decodes a chunked body without trailers.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    stage: Stage,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A digit of a chunk's size, or the end of its line.
    Size {
        size: usize,
        has_digits: bool,
    },
    /// The line feed after a size.
    SizeEnd {
        size: usize,
    },
    /// Data of a chunk.
    Data {
        left: usize,
    },
    /// The carriage return and the line feed after the data.
    DataReturn,
    DataFeed,
    /// The carriage return and the line feed after the last chunk.
    LastReturn,
    LastFeed,
    Ended,
}

impl Default for Stage {
    fn default() -> Self {
        Self::Size { size: 0, has_digits: false }
    }
}

impl Decoder {
    /// Returns the next data in `received`, which the caller then consumes; `None` if more has to be
    /// received or the body has ended.
    ///
    /// # Errors
    /// Fails if the body is not encoded in chunks.
    pub(super) fn next<'a>(
        &mut self,
        received: &'a mut BytesMut,
    ) -> Result<Option<&'a [u8]>, String> {
        loop {
            match self.stage {
                Stage::Ended => return Ok(None),
                Stage::Data { left } => {
                    let bytes = left.min(received.len());
                    return Ok((bytes > 0).then_some(&received[..bytes]));
                }
                stage => {
                    let Some(byte) = received.first().copied() else { return Ok(None) };
                    received.advance(1);
                    let next = stage.after(byte).ok_or_else(|| "malformed chunk".to_owned())?;
                    self.stage = next;
                }
            }
        }
    }

    /// Removes `bytes` bytes of data from `received`.
    pub(super) fn consume(&mut self, received: &mut BytesMut, bytes: usize) {
        received.advance(bytes);
        if let Stage::Data { left } = self.stage {
            let left = left - bytes;
            self.stage = if left == 0 { Stage::DataReturn } else { Stage::Data { left } };
        }
    }

    /// Whether the body is complete.
    pub(super) fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }
}

impl Stage {
    /// Stage after `byte`, which is no data; `None` if it may not stand there.
    fn after(self, byte: u8) -> Option<Self> {
        match (self, byte) {
            (Self::Size { size, has_digits: true }, b'\r') => Some(Self::SizeEnd { size }),
            (Self::Size { size, .. }, digit) => {
                let digit = char::from(digit).to_digit(16)?;
                let size = size.checked_mul(16)?.checked_add(digit as usize)?;
                Some(Self::Size { size, has_digits: true })
            }
            (Self::SizeEnd { size: 0 }, b'\n') => Some(Self::LastReturn),
            (Self::SizeEnd { size }, b'\n') => Some(Self::Data { left: size }),
            (Self::DataReturn, b'\r') => Some(Self::DataFeed),
            (Self::DataFeed, b'\n') => Some(Self::default()),
            (Self::LastReturn, b'\r') => Some(Self::LastFeed),
            (Self::LastFeed, b'\n') => Some(Self::Ended),
            _ => None,
        }
    }
}
