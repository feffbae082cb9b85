//! Encoding of the values that daemons write for each other: JSON, compressed if it is long. A record of thousands of
//! replicas is sent to every edge whenever one of them changes.

use std::io::{Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

/// Minimum length of JSON that is compressed, in bytes. Below it, compression saves less than it costs on every edge.
pub(crate) const COMPRESSION_THRESHOLD_BYTES: usize = 4 << 10;
/// Maximum length of the JSON in a compressed value, in bytes: forty times the record of the largest fleet.
pub(crate) const DECOMPRESSED_MAX_BYTES: usize = 32 << 20;

/// The first byte of a compressed value; JSON never begins with it.
const COMPRESSED_MARK: u8 = 0;

/// Encodes a value for storing and sending. Returns `None` if it cannot be serialized.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    let json = serde_json::to_vec(value).ok()?;
    if json.len() < COMPRESSION_THRESHOLD_BYTES {
        return Some(json);
    }
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED_MARK], Compression::fast());
    encoder.write_all(&json).ok()?;
    encoder.finish().ok()
}

/// Decodes a value, compressed or not. Returns `None` if the bytes are invalid or decompress to more than the limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    match bytes.split_first() {
        Some((&COMPRESSED_MARK, deflated)) => serde_json::from_slice(&decompress(deflated)?).ok(),
        _ => serde_json::from_slice(bytes).ok(),
    }
}

/// Decompresses up to the limit. A few bytes may decompress to any length, so reading stops one byte above the limit.
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
