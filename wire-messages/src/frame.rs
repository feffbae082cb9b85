//! One frame on a channel: a length of four bytes, the wire version, then an [`Envelope`].

use std::io::Cursor;

use binrw::{BinRead, BinWrite};

use crate::{Envelope, MAX_FRAME, WIRE_VERSION};

/// Bytes of the length before a frame's body.
const LENGTH_BYTES: usize = 4;

/// Why bytes are not a frame, or an envelope cannot be one. The channel on which such bytes came is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The body has so many bytes, more than [`MAX_FRAME`].
    TooLong(usize),
    /// The body does not have the layout of a message, or a field is over its limit.
    Malformed(String),
    /// So many bytes are left after the message.
    Trailing(usize),
    /// The sender speaks this other version of the messages.
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

/// Reads the length of a frame's body, in bytes.
///
/// # Errors
/// [`FrameError::TooLong`], before anything is read for such a body.
pub fn read_length(prefix: [u8; LENGTH_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// The bytes of a frame, length included.
///
/// # Errors
/// [`FrameError::Malformed`] where a field is over its limit, [`FrameError::TooLong`] where the whole is.
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

/// Reads the body of a frame.
///
/// # Errors
/// [`FrameError::Version`], [`FrameError::Malformed`], or [`FrameError::Trailing`]: no sender leaves bytes over.
pub fn decode(body: &[u8]) -> Result<Envelope, FrameError> {
    let mut cursor = Cursor::new(body);
    // Compared before anything else is read: another version's bytes may be read as a message with another meaning.
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
