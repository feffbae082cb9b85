//! A relay between two processes, which can reset the connections that run through it.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex, PoisonError},
    thread,
};

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}
const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Has the closing of a socket reset its connection.
fn reset_on_close(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value lives for the length of the call.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &raw const linger,
            8,
        )
    };
}

#[derive(Clone, Default)]
pub struct Relay(Arc<Mutex<Vec<[TcpStream; 2]>>>);

impl Relay {
    /// Listens at one address and passes on to another.
    pub fn start(from: &str, to: &str) -> Result<Relay, String> {
        let listener = TcpListener::bind(from).map_err(|e| format!("relay {from}: {e}"))?;
        let (relay, to) = (Relay::default(), to.to_string());
        let shared = relay.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(&to) else {
                    continue;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let Ok(pair) = near.try_clone().and_then(|n| Ok([n, far.try_clone()?])) else {
                    continue;
                };
                shared
                    .0
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(pair);
                pass(&near, &far);
                pass(&far, &near);
            }
        });
        Ok(relay)
    }

    /// Resets all connections; says how many. New ones are passed on as before.
    pub fn reset(&self) -> usize {
        let pairs = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        for stream in pairs.iter().flatten() {
            reset_on_close(stream);
        }
        // The threads that pass bytes end first: the last handle's close sends the reset.
        for stream in pairs.iter().flatten() {
            let _ = stream.shutdown(Shutdown::Read);
        }
        pairs.len()
    }
}

fn pass(from: &TcpStream, to: &TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(n) = from.read(&mut buffer) {
            if n == 0 || to.write_all(&buffer[..n]).is_err() {
                return;
            }
        }
    });
}
