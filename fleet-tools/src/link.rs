//! The stand-in network between our own processes: every process is reached through a relay that reads whose frame it
//! passes on, and drops or delays it by rules.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use wire_messages::{decode, read_length};

/// Pause before the next connection is accepted where the last one could not be.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Nothing passes from the first to the second; names of processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    pub from: Vec<String>,
    pub to: Vec<String>,
}

impl Cut {
    fn drops(&self, from: &str, to: &str) -> bool {
        let includes = |names: &[String], name: &str| names.iter().any(|listed| listed == name);
        includes(&self.from, from) && includes(&self.to, to)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub cuts: Vec<Cut>,
    /// ms. Each frame waits for a part of this.
    pub delay: u64,
}

impl Rules {
    /// Whether a frame between these processes is dropped.
    pub fn drops(&self, from: &str, to: &str) -> bool {
        self.cuts.iter().any(|cut| cut.drops(from, to))
    }

    /// Ends one cut; others that drop the same frames stay.
    pub fn end_cut(&mut self, ended: &Cut) {
        if let Some(index) = self.cuts.iter().position(|cut| cut == ended) {
            self.cuts.remove(index);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Link(Arc<Mutex<Rules>>);

impl Link {
    pub fn rules(&self) -> MutexGuard<'_, Rules> {
        // A panic elsewhere leaves rules that are still complete.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes frames that come to `listen` on to the process `name` at `to`, until this program ends.
    pub async fn relay(&self, listen: &str, name: String, to: String) -> io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let link = self.clone();
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let passing = pass(link.clone(), stream, name.clone(), to.clone());
                        actix_rt::spawn(passing);
                    }
                    // Out of descriptors for a moment: the link must not end with it.
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
                }
            }
        });
        Ok(())
    }
}

async fn pass(link: Link, mut stream: TcpStream, name: String, to: String) -> Option<()> {
    let mut out = TcpStream::connect(&to).await.ok()?;
    loop {
        let mut head = [0; 4];
        stream.read_exact(&mut head).await.ok()?;
        let mut body = vec![0; read_length(head).ok()?];
        stream.read_exact(&mut body).await.ok()?;
        // What is no frame of ours is passed on as it is: rejecting it is the process's own part.
        let from = decode(&body).map_or(String::new(), |envelope| envelope.from.to_string());
        let (is_dropped, delay) = {
            let rules = link.rules();
            (rules.drops(&from, &name), rules.delay)
        };
        if is_dropped {
            continue;
        }
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(fastrand::u64(..delay))).await;
        }
        out.write_all(&head).await.ok()?;
        out.write_all(&body).await.ok()?;
    }
}
