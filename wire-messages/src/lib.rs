//! Messages between landingslip's own processes, in `binrw`, every length bounded.
//! The types hold no I/O; `daemon-parts` moves them over TCP and the simulator over virtual time.

mod fields;
mod frame;
mod messages;

use fields::Varint;
pub use fields::{Blob, List, Name};
pub use frame::{FrameFault, decode, encode, read_length};
pub use messages::*;

/// Version of the messages. It rises with every change to one of them; processes of different versions do not
/// read each other, so a fleet is upgraded edge by edge and voter by voter (docs/operators.md).
pub const WIRE: u16 = 12;
/// Largest frame a peer may send, in bytes: the largest document that operators may send, and all other keys.
pub const MAX_FRAME: usize = 8 << 20;
/// Largest name, in bytes: names are machine, key and version labels.
pub const MAX_NAME: usize = 512;
/// Most items in one list: a frame of all keys of a fleet stays far below.
pub const MAX_LIST: usize = 1 << 16;
