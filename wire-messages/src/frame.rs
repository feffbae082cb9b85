//! One frame on a channel: a 4-byte length, the version of the messages, then an `Envelope`.

use std::io::Cursor;

use binrw::{BinRead, BinWrite};

use crate::{Envelope, MAX_FRAME, WIRE};

/// Why bytes are not a frame; the channel they came on is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameFault {
    TooLong(usize),
    Malformed(String),
    Trailing(usize),
    /// The sender speaks another version of the messages.
    Version(u16),
}

impl std::fmt::Display for FrameFault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            FrameFault::TooLong(n) => write!(f, "frame of {n} bytes is over {MAX_FRAME}"),
            FrameFault::Malformed(s) => write!(f, "malformed frame: {s}"),
            FrameFault::Version(v) => write!(
                f,
                "message version {v} from the peer, this process speaks {WIRE}"
            ),
            FrameFault::Trailing(n) => write!(f, "{n} bytes left after the message"),
        }
    }
}
impl std::error::Error for FrameFault {}

/// Checks the length prefix before anything is read for it.
pub fn read_length(b: [u8; 4]) -> Result<usize, FrameFault> {
    let n = u32::from_be_bytes(b) as usize;
    if n > MAX_FRAME {
        Err(FrameFault::TooLong(n))
    } else {
        Ok(n)
    }
}

/// The frame's bytes, length prefix included.
pub fn encode(e: &Envelope) -> Result<Vec<u8>, FrameFault> {
    let mut c = Cursor::new(vec![0u8; 4]);
    c.set_position(4);
    WIRE.write_be(&mut c)
        .map_err(|e| FrameFault::Malformed(e.to_string()))?;
    e.write_be(&mut c)
        .map_err(|e| FrameFault::Malformed(e.to_string()))?;
    let mut v = c.into_inner();
    let n = v.len() - 4;
    if n > MAX_FRAME {
        return Err(FrameFault::TooLong(n));
    }
    v[..4].copy_from_slice(&(n as u32).to_be_bytes());
    Ok(v)
}

/// Reads a frame's body; bytes left over are a fault, as a sender never leaves any.
pub fn decode(b: &[u8]) -> Result<Envelope, FrameFault> {
    let mut c = Cursor::new(b);
    // Read before anything else: another version's messages may pass for garbage, or worse, for sense.
    let v = u16::read_be(&mut c).map_err(|e| FrameFault::Malformed(e.to_string()))?;
    if v != WIRE {
        return Err(FrameFault::Version(v));
    }
    let e = Envelope::read_be(&mut c).map_err(|e| FrameFault::Malformed(e.to_string()))?;
    let left = b.len() - c.position() as usize;
    if left > 0 {
        Err(FrameFault::Trailing(left))
    } else {
        Ok(e)
    }
}

#[cfg(test)]
mod tests;
