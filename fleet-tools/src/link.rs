//! The stand-in network between our own processes: every process is reached through a relay that reads whose
//! frame it passes on, and drops or delays it by rules.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use wire_messages::{decode, read_length};

/// Nothing passes from the first to the second; names of processes.
#[derive(Clone, Debug, Default)]
pub struct Cut {
    pub from: Vec<String>,
    pub to: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub cuts: Vec<Cut>,
    /// ms. Each frame waits for a part of this.
    pub delay: u64,
}

impl Rules {
    fn cut(&self, from: &str, to: &str) -> bool {
        let on = |v: &[String], n: &str| v.iter().any(|x| x == n);
        self.cuts.iter().any(|c| on(&c.from, from) && on(&c.to, to))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Link(Arc<Mutex<Rules>>);

impl Link {
    pub fn rules(&self) -> MutexGuard<'_, Rules> {
        // A panic elsewhere leaves rules that are still whole.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Passes frames that come to `listen` on to the process `name` at `to`, until this program ends.
    pub async fn relay(&self, listen: &str, name: String, to: String) -> std::io::Result<()> {
        let l = TcpListener::bind(listen).await?;
        let link = self.clone();
        actix_rt::spawn(async move {
            loop {
                match l.accept().await {
                    Ok((s, _)) => drop(actix_rt::spawn(pass(
                        link.clone(),
                        s,
                        name.clone(),
                        to.clone(),
                    ))),
                    // Out of descriptors for a moment: the link must not end with it.
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            }
        });
        Ok(())
    }
}

async fn pass(link: Link, mut s: TcpStream, name: String, to: String) -> Option<()> {
    let mut out = TcpStream::connect(&to).await.ok()?;
    loop {
        let mut head = [0; 4];
        s.read_exact(&mut head).await.ok()?;
        let mut b = vec![0; read_length(head).ok()?];
        s.read_exact(&mut b).await.ok()?;
        // What is no frame of ours is passed on as it is: rejecting it is the process's own part.
        let from = decode(&b).map_or(String::new(), |e| e.from.to_string());
        let (cut, delay) = {
            let r = link.rules();
            (r.cut(&from, &name), r.delay)
        };
        if cut {
            continue;
        }
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(fastrand::u64(..delay))).await;
        }
        out.write_all(&head).await.ok()?;
        out.write_all(&b).await.ok()?;
    }
}
