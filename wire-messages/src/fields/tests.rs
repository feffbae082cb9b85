use std::io::Cursor;

use binrw::{BinRead, BinWrite};

use super::Varint;
use crate::*;

fn encode_varint(n: u64) -> Vec<u8> {
    let mut cursor = Cursor::new(vec![]);
    Varint(n).write_be(&mut cursor).unwrap();
    cursor.into_inner()
}
fn decode_varint(bytes: &[u8]) -> Option<u64> {
    Varint::read_be(&mut Cursor::new(bytes))
        .ok()
        .map(|number| number.0)
}

#[test]
fn a_varint_round_trips_in_one_byte_for_each_seven_bits() {
    let boundaries = (0..64)
        .flat_map(|i| [(1u64 << i) - 1, 1 << i, (1 << i) + 1])
        .chain([u64::MAX]);
    for n in boundaries {
        let bytes = encode_varint(n);
        assert_eq!(
            bytes.len(),
            (u64::BITS - (n | 1).leading_zeros()).div_ceil(7) as usize,
            "{n}"
        );
        assert_eq!(decode_varint(&bytes), Some(n), "{n}");
        assert!(
            (0..bytes.len()).all(|i| decode_varint(&bytes[..i]).is_none()),
            "{n} truncated"
        );
    }
}

#[test]
fn a_varint_has_exactly_one_encoding() {
    // Longer than necessary, more than 64 bits, and unterminated.
    for bytes in [
        vec![0x80, 0],
        vec![0xff, 0x80, 0],
        [vec![0xff; 9], vec![2]].concat(),
        vec![0x80; 11],
        vec![0xff; 11],
    ] {
        assert_eq!(decode_varint(&bytes), None, "{bytes:?}");
    }
}

#[test]
fn outcome_counters_round_trip_whatever_their_values() {
    for n in [0, 1, 127, 128, 1 << 40, u64::MAX] {
        let counts = OutcomeCounters {
            sent: n,
            succeeded: n / 2,
            failed: n / 3,
            slow: n / 5,
            first_chunks: n / 7,
            first_chunk_log_sum: n / 11,
            ..OutcomeCounters::default()
        };
        let counters = OutcomeCounters {
            failed_replicas: !n,
            recent_ended: n / 13,
            recent_failed: n / 17,
            recent_slow: n / 19,
            ..counts
        };
        let poll = Poll {
            sent_at: n,
            after_position: n / 2,
            counters_since: n / 3,
            counters_through: !n,
            counters: List(vec![counters]),
            ..Poll::default()
        };
        let envelope = Envelope {
            from: "e".into(),
            addr: "e".into(),
            msg: poll.into(),
        };
        let frame = encode(&envelope).unwrap();
        assert_eq!(decode(&frame[4..]), Ok(envelope.clone()));
        assert!(
            (4..frame.len()).all(|i| decode(&frame[4..i]).is_err()),
            "{n} truncated"
        );
    }
}

#[test]
fn a_length_over_its_limit_is_rejected_before_its_bytes_are_read() {
    let is_over_limit = |error: binrw::Error| error.to_string().contains("over its limit");
    for n in [MAX_NAME + 1, MAX_LIST + 1, MAX_FRAME + 1, usize::MAX] {
        let mut bytes = encode_varint(n as u64);
        bytes.extend([0; 8]);
        assert_eq!(
            Name::read_be(&mut Cursor::new(&bytes)).is_err_and(is_over_limit),
            n > MAX_NAME,
            "{n}"
        );
        assert_eq!(
            List::<u64>::read_be(&mut Cursor::new(&bytes)).is_err_and(is_over_limit),
            n > MAX_LIST,
            "{n}"
        );
        assert_eq!(
            Blob::read_be(&mut Cursor::new(&bytes)).is_err_and(is_over_limit),
            n > MAX_FRAME,
            "{n}"
        );
    }
    for n in [0, 1, 127, 128, MAX_NAME] {
        let name = Name("x".repeat(n));
        let mut cursor = Cursor::new(vec![]);
        name.write_be(&mut cursor).unwrap();
        assert_eq!(cursor.get_ref().len(), n + encode_varint(n as u64).len());
        cursor.set_position(0);
        assert_eq!(Name::read_be(&mut cursor).unwrap(), name);
    }
}
