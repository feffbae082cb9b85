//! Values that daemons write for each other: JSON, compressed where it is long. A record of thousands of replicas goes
//! to every edge at each change of one of them.

use std::io::{Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Bytes. JSON of this length or more is compressed: below, that saves less than it costs on every edge.
pub(crate) const COMPRESSION_THRESHOLD_BYTES: usize = 4 << 10;
/// Bytes of JSON in a compressed value at most: forty times the record of the largest fleet.
pub(crate) const DECOMPRESSED_MAX_BYTES: usize = 32 << 20;

/// The first byte of a compressed value; no JSON begins with it.
const COMPRESSED_MARK: u8 = 0;

/// The value as it is stored and sent; none if it cannot be written.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    let json = serde_json::to_vec(value).ok()?;
    if json.len() < COMPRESSION_THRESHOLD_BYTES {
        return Some(json);
    }
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED_MARK], Compression::fast());
    encoder.write_all(&json).ok()?;
    encoder.finish().ok()
}

/// The value in the bytes, compressed or not; none if they are no such value, or one that is too long.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match bytes.split_first() {
        Some((&COMPRESSED_MARK, deflated)) => serde_json::from_slice(&decompress(deflated)?).ok(),
        _ => serde_json::from_slice(bytes).ok(),
    }
}

/// A few bytes may decompress to any number: reading stops one byte above the limit.
fn decompress(deflated: &[u8]) -> Option<Vec<u8>> {
    let mut json = Vec::new();
    let length = DeflateDecoder::new(deflated)
        .take(DECOMPRESSED_MAX_BYTES as u64 + 1)
        .read_to_end(&mut json)
        .ok()?;
    (length <= DECOMPRESSED_MAX_BYTES).then_some(json)
}

#[cfg(test)]
mod tests;
