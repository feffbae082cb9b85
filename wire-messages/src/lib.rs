//! Messages between landingslip's own processes, encoded with `binrw`, with a limit on every length.
//!
//! The types do no I/O: `daemon-parts` sends frames over TCP, the simulator in virtual time. Start at [`Message`];
//! [`encode`] and [`decode`] convert an [`Envelope`] to a frame and back. `tests/frames.rs` checks the bytes of every
//! message.

#![deny(missing_docs)]

mod fields;
mod frame;
mod messages;
mod parts;

use fields::Varint;
pub use fields::{Blob, List, Name};
pub use frame::{FrameError, decode, encode, read_length};
pub use messages::*;
pub use parts::*;

/// Version of the messages, incremented with every change to one of them. Processes of different versions reject each
/// other's frames, so a fleet is upgraded edge by edge and voter by voter (docs/operators.md).
pub const WIRE_VERSION: u16 = 15;
/// Maximum frame body, in bytes: fits the largest document that operators may send and all other keys.
pub const MAX_FRAME: usize = 8 << 20;
/// Maximum length of a [`Name`], in bytes: names are labels of machines, keys and versions.
pub const MAX_NAME: usize = 512;
/// Maximum number of items in a [`List`]: an update with all keys of a fleet stays far below.
pub const MAX_LIST: usize = 1 << 16;
