//! Messages between landingslip's own processes, in `binrw`, with a bound on every length.
//!
//! The types do no I/O: `daemon-parts` moves frames over TCP, the simulator over virtual time. Start at [`Message`];
//! [`encode`] and [`decode`] turn an [`Envelope`] into a frame and back. `tests/frames.rs` holds every message to its bytes.

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

/// Version of the messages. It rises with every change to one of them. Processes of different versions do not read each
/// other, so a fleet is upgraded edge by edge and voter by voter (docs/operators.md).
pub const WIRE_VERSION: u16 = 14;
/// Largest body of a frame, in bytes: the largest document that operators may send, and all other keys.
pub const MAX_FRAME: usize = 8 << 20;
/// Largest [`Name`], in bytes: names are labels of machines, keys and versions.
pub const MAX_NAME: usize = 512;
/// Most items in one [`List`]: an update with all keys of a fleet stays far below.
pub const MAX_LIST: usize = 1 << 16;
