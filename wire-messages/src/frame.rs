//! Frames on a channel: a four-byte length, the wire version, then an [`Envelope`].

use std::io::Cursor;

use binrw::{BinRead, BinWrite};

use crate::{Envelope, MAX_FRAME, WIRE_VERSION};

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error of encoding or decoding a frame. A channel that receives an invalid frame is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The body has this many bytes, more than [`MAX_FRAME`].
    TooLong(usize),
    /// The body is not a valid message, or a field exceeds its limit.
    Malformed(String),
    /// This many bytes follow the message.
    Trailing(usize),
    /// The sender uses this other wire version.
    Version(u16),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            FrameError::TooLong(bytes) => {
                write!(formatter, "frame of {bytes} bytes is over {MAX_FRAME}")
            }
            FrameError::Malformed(reason) => write!(formatter, "malformed frame: {reason}"),
            FrameError::Version(version) => write!(
                formatter,
                "message version {version} from the peer, this process speaks {WIRE_VERSION}"
            ),
            FrameError::Trailing(bytes) => {
                write!(formatter, "{bytes} bytes left after the message")
            }
        }
    }
}

impl std::error::Error for FrameError {}

fn malformed(error: impl std::fmt::Display) -> FrameError {
    FrameError::Malformed(error.to_string())
}

/// Decodes the length of a frame's body, in bytes.
///
/// # Errors
/// [`FrameError::TooLong`], before any of the body is read.
pub fn read_length(prefix: [u8; LENGTH_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// Encodes an envelope as a frame, including the length prefix.
///
/// # Errors
/// [`FrameError::Malformed`] if a field exceeds its limit, [`FrameError::TooLong`] if the body does.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, FrameError> {
    let mut cursor = Cursor::new(vec![0u8; LENGTH_BYTES]);
    cursor.set_position(LENGTH_BYTES as u64);
    WIRE_VERSION.write_be(&mut cursor).map_err(malformed)?;
    envelope.write_be(&mut cursor).map_err(malformed)?;
    let mut frame = cursor.into_inner();
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME {
        return Err(FrameError::TooLong(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes the body of a frame.
///
/// # Errors
/// [`FrameError::Version`], [`FrameError::Malformed`], or [`FrameError::Trailing`]: no sender appends bytes.
pub fn decode(body: &[u8]) -> Result<Envelope, FrameError> {
    let mut cursor = Cursor::new(body);
    // Checked first: the bytes of another version may decode as a message with another meaning.
    let version = u16::read_be(&mut cursor).map_err(malformed)?;
    if version != WIRE_VERSION {
        return Err(FrameError::Version(version));
    }
    let envelope = Envelope::read_be(&mut cursor).map_err(malformed)?;
    let trailing = body.len() - cursor.position() as usize;
    if trailing > 0 {
        return Err(FrameError::Trailing(trailing));
    }
    Ok(envelope)
}

#[cfg(test)]
mod tests;
