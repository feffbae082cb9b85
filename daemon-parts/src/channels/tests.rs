use std::time::Duration;

use googletest::prelude::*;

use super::*;

fn run(future: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(future);
}

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let a = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    (a, listener.accept().await.unwrap().0)
}

// A partition of 6 s on links of 80 ms kept an edge on an old spec for another 5.6 s, because the kernel doubles its
// retransmission interval each time.
#[gtest]
fn unacknowledged_data_closes_a_channel_well_before_any_time_bound() {
    run(async {
        let (a, b) = connected_pair().await;
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
        // Leaves half of the shortest time bound that users set for daemons in contact to all later steps.
        expect_that!(
            UNACKNOWLEDGED_TIMEOUT + CONNECT_TIMEOUT,
            le(Duration::from_secs(4) * 6 / 10)
        );
        expect_that!(WRITER_IDLE_TIMEOUT, lt(READER_IDLE_TIMEOUT));
    });
}

#[gtest]
fn a_writer_reconnects_after_its_peer_closes_and_ends_when_idle() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to: Name = listener.local_addr().unwrap().to_string().as_str().into();
        let (sender, receiver) = mpsc::channel(CHANNEL_QUEUE_CAPACITY);
        let writer = actix_rt::spawn(write_frames(to.clone(), receiver, Duration::MAX));
        let mut received = [0; 1];
        for round in [1, 2] {
            // The first message on a channel that its peer closed is lost; the next one opens another channel.
            let mut connection = loop {
                sender.send(vec![round]).await.unwrap();
                tokio::select! {
                    incoming = listener.accept() => break incoming.unwrap().0,
                    _ = tokio::task::yield_now() => {}
                }
            };
            connection.read_exact(&mut received).await.unwrap();
            expect_that!(received, eq([round]));
        }
        drop(sender);
        writer.await.unwrap();
        let (sender, receiver) = mpsc::channel(CHANNEL_QUEUE_CAPACITY);
        write_frames(to, receiver, Duration::ZERO).await;
        expect_true!(sender.is_closed());
    });
}
