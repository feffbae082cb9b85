use super::*;
use crate::*;

#[test]
fn a_frame_round_trips_and_malformed_bytes_never_panic() {
    let e = Envelope {
        from: "c1".into(),
        addr: "127.0.0.1:1".into(),
        msg: Message::Prepare(Prepare {
            key: "spec".into(),
            epoch: 7,
            member_epoch: 1,
        }),
    };
    let v = encode(&e).unwrap();
    assert_eq!(read_length(v[..4].try_into().unwrap()), Ok(v.len() - 4));
    assert_eq!(decode(&v[4..]).unwrap(), e);
    // Every truncation and every single-byte change is an error or another message, never a panic.
    for i in 4..v.len() {
        assert!(decode(&v[4..i]).is_err());
        for x in [0, 1, 0x7f, 0xff] {
            let mut w = v.clone();
            w[i] = x;
            let _ = decode(&w[4..]);
        }
    }
    let mut w = v[4..].to_vec();
    w[1] += 1;
    assert_eq!(decode(&w), Err(FrameError::Version(WIRE_VERSION + 1)));
    let mut w = v[4..].to_vec();
    w.push(0);
    assert_eq!(decode(&w), Err(FrameError::Trailing(1)));
    assert!(matches!(
        read_length([0xff; 4]),
        Err(FrameError::TooLong(_))
    ));
}
