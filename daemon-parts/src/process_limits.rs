//! What a process may take of its machine, and how that is divided among its clients.
//!
//! A limit for one request bounds nothing while the number of requests is open. These limits are for the whole process:
//! connections are capped, and what they may hold beside a fixed part is drawn from one budget
//! ([`crate::request_memory`]).

use wire_messages::MAX_FRAME;

/// Memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;
/// Descriptors of a process whose settings name none: the usual limit of a shell.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Descriptors that are left to files.
const FILE_DESCRIPTORS: u64 = 200;
/// Percent of the sockets that clients' connections may take; replicas, peers and the platform need the others.
const CLIENT_SOCKET_PERCENT: u64 = 60;
/// Percent of the sockets that channels from other processes may take.
const CHANNEL_SOCKET_PERCENT: u64 = 25;
/// Memory of the program itself and of its state, in bytes, which clients may not take.
const PROGRAM_BYTES: u64 = 32 << 20;
/// Part of the memory that clients may take however little there is, in percent.
const MIN_CLIENT_MEMORY_PERCENT: u64 = 25;
/// Percent of the memory for clients that their connections may take.
const CONNECTION_MEMORY_PERCENT: u64 = 30;
/// Percent of the memory for clients that requests under way may take.
const REQUEST_MEMORY_PERCENT: u64 = 35;
/// Percent of the memory for clients that frames from other processes may take while they come.
const FRAME_MEMORY_PERCENT: u64 = 10;
/// Bytes of frames that a process takes at once however little it may take: one of the largest size.
const MIN_FRAME_BYTES: u64 = MAX_FRAME as u64;
/// Memory of one client's connection with its buffers full, in bytes, without what its request draws from the budget.
pub const CONNECTION_BYTES: u64 = 48 << 10;
/// Percent of the memory for clients that must have been taken before memory is returned to the system.
const TRIM_MEMORY_PERCENT: u64 = 5;
/// Connections that a process accepts however little it may take.
const MIN_CONNECTIONS: u64 = 16;

/// Limits of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    memory_bytes: u64,
    descriptors: u64,
}

impl ProcessLimits {
    /// Limits as the settings have them; 0: the default.
    #[must_use]
    pub fn new(memory_bytes: u64, descriptors: u64) -> Self {
        let or_default = |limit, default| if limit > 0 { limit } else { default };
        ProcessLimits {
            memory_bytes: or_default(memory_bytes, DEFAULT_MEMORY_BYTES),
            descriptors: or_default(descriptors, DEFAULT_DESCRIPTORS),
        }
    }

    /// Connections of clients that may be open at once.
    #[must_use]
    pub fn client_connections(self) -> usize {
        let by_sockets = self.sockets() * CLIENT_SOCKET_PERCENT / 100;
        let by_memory = self.client_memory() * CONNECTION_MEMORY_PERCENT / 100 / CONNECTION_BYTES;
        by_sockets.min(by_memory).max(MIN_CONNECTIONS) as usize
    }

    /// Channels that other processes may have open to this one.
    #[must_use]
    pub fn channels(self) -> usize {
        let by_sockets = self.sockets() * CHANNEL_SOCKET_PERCENT / 100;
        by_sockets.max(MIN_CONNECTIONS) as usize
    }

    /// Bytes that all requests under way may hold together.
    #[must_use]
    pub fn request_bytes(self) -> u64 {
        self.client_memory() * REQUEST_MEMORY_PERCENT / 100
    }

    /// Bytes that all frames which come from other processes may hold together.
    #[must_use]
    pub fn frame_bytes(self) -> u64 {
        let share = self.client_memory() * FRAME_MEMORY_PERCENT / 100;
        share.max(MIN_FRAME_BYTES)
    }

    /// Bytes that clients must have held before memory is returned to the system.
    #[must_use]
    pub fn trim_bytes(self) -> u64 {
        self.client_memory() * TRIM_MEMORY_PERCENT / 100
    }

    /// Memory that what clients send may take, in bytes.
    fn client_memory(self) -> u64 {
        let least = self.memory_bytes * MIN_CLIENT_MEMORY_PERCENT / 100;
        self.memory_bytes.saturating_sub(PROGRAM_BYTES).max(least)
    }

    fn sockets(self) -> u64 {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}
