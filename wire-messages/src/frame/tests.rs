use super::*;
use crate::*;

#[test]
fn a_frame_round_trips_and_malformed_bytes_never_panic() {
    let envelope = Envelope {
        from: "c1".into(),
        addr: "127.0.0.1:1".into(),
        msg: Message::Prepare(Prepare {
            key: "spec".into(),
            epoch: 7,
            member_epoch: 1,
        }),
    };
    let frame = encode(&envelope).unwrap();
    assert_eq!(
        read_length(frame[..4].try_into().unwrap()),
        Ok(frame.len() - 4)
    );
    assert_eq!(decode(&frame[4..]).unwrap(), envelope);
    // Every truncation and every single-byte change is an error or another message, never a panic.
    for i in 4..frame.len() {
        assert!(decode(&frame[4..i]).is_err());
        for byte in [0, 1, 0x7f, 0xff] {
            let mut changed = frame.clone();
            changed[i] = byte;
            let _ = decode(&changed[4..]);
        }
    }
    let mut changed = frame[4..].to_vec();
    changed[1] += 1;
    assert_eq!(decode(&changed), Err(FrameError::Version(WIRE_VERSION + 1)));
    let mut changed = frame[4..].to_vec();
    changed.push(0);
    assert_eq!(decode(&changed), Err(FrameError::Trailing(1)));
    assert!(matches!(
        read_length([0xff; 4]),
        Err(FrameError::TooLong(_))
    ));
}
