use std::time::Duration;

use googletest::prelude::*;

use super::*;

fn run(f: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(f);
}

async fn pair() -> (TcpStream, TcpStream) {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let a = TcpStream::connect(l.local_addr().unwrap()).await.unwrap();
    (a, l.accept().await.unwrap().0)
}

// A cut of 6 s on ways of 80 ms was seen to keep an edge on an old spec for 5.6 s after it: the system's own pauses
// between sending again double each time.
#[gtest]
fn what_is_sent_and_not_acknowledged_ends_its_channel_long_before_a_bound() {
    run(async {
        let (a, b) = pair().await;
        configure_outgoing(&a).unwrap();
        configure_incoming(&b).unwrap();
        let (a, b) = (SockRef::from(&a), SockRef::from(&b));
        expect_that!(
            a.tcp_user_timeout().unwrap(),
            some(eq(UNACKNOWLEDGED_TIMEOUT))
        );
        expect_true!(a.tcp_nodelay().unwrap());
        expect_true!(b.keepalive().unwrap());
        expect_that!(
            (
                b.tcp_keepalive_time().unwrap(),
                b.tcp_keepalive_retries().unwrap()
            ),
            eq((KEEPALIVE_TIME, KEEPALIVE_RETRIES))
        );
        // Half of the shortest bound for daemons in touch that users have named is left for all that follows.
        expect_that!(
            UNACKNOWLEDGED_TIMEOUT + CONNECT_TIMEOUT,
            le(Duration::from_secs(4) * 6 / 10)
        );
        expect_that!(WRITER_IDLE_TIMEOUT, lt(READER_IDLE_TIMEOUT));
    });
}

#[gtest]
fn a_writer_opens_anew_after_its_peer_closed_and_ends_when_it_has_nothing_to_write() {
    run(async {
        let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to: Name = l.local_addr().unwrap().to_string().as_str().into();
        let (s, r) = mpsc::channel(CHANNEL_QUEUE_CAPACITY);
        let end = actix_rt::spawn(write_frames(to.clone(), r, Duration::MAX));
        let mut got = [0; 1];
        for turn in [1, 2] {
            // The first message on a channel that its peer closed is lost, the next opens another.
            let mut c = loop {
                s.send(vec![turn]).await.unwrap();
                tokio::select! {
                    c = l.accept() => break c.unwrap().0,
                    _ = tokio::task::yield_now() => {}
                }
            };
            c.read_exact(&mut got).await.unwrap();
            expect_that!(got, eq([turn]));
        }
        drop(s);
        end.await.unwrap();
        let (s, r) = mpsc::channel(CHANNEL_QUEUE_CAPACITY);
        write_frames(to, r, Duration::ZERO).await;
        expect_true!(s.is_closed());
    });
}
