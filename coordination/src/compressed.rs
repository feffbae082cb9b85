//! Values that daemons write for each other: JSON, packed where it is long. A record of thousands of replicas goes to
//! every edge at each change of one of them.

use std::io::{Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Bytes. A value that is as long is packed: below, packing saves less than it costs on every edge.
pub(crate) const COMPRESSION_THRESHOLD_BYTES: usize = 4 << 10;
/// Bytes that a packed value may unpack to: forty times the record of the largest fleet.
pub(crate) const DECOMPRESSED_MAX_BYTES: usize = 32 << 20;

/// Begins a packed value; no JSON begins so.
const COMPRESSED_MARK: u8 = 0;

/// The value as it is kept and sent; none if it cannot be written.
pub fn encode<T: Serialize>(v: &T) -> Option<Vec<u8>> {
    let json = serde_json::to_vec(v).ok()?;
    if json.len() < COMPRESSION_THRESHOLD_BYTES {
        return Some(json);
    }
    let mut e = DeflateEncoder::new(vec![COMPRESSED_MARK], Compression::fast());
    e.write_all(&json).ok()?;
    e.finish().ok()
}

/// The value that stands in the bytes, packed or not.
pub fn decode<T: DeserializeOwned>(b: &[u8]) -> Option<T> {
    if b.first() != Some(&COMPRESSED_MARK) {
        return serde_json::from_slice(b).ok();
    }
    let mut json = Vec::new();
    // A few bytes may unpack to any number.
    let n = DeflateDecoder::new(&b[1..])
        .take(DECOMPRESSED_MAX_BYTES as u64 + 1)
        .read_to_end(&mut json)
        .ok()?;
    if n > DECOMPRESSED_MAX_BYTES {
        return None;
    }
    serde_json::from_slice(&json).ok()
}

#[cfg(test)]
mod tests;
