//! Links between parts, as relays on loopback that can hold, delay, reset and refuse what passes.
//!
//! What is held is delivered in order once the link is open again, even if the sender has given up
//! and closed meanwhile: that is how late requests come about.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes read at once, and so held at the most for each direction of a connection.
const CHUNK: usize = 64 * 1024;

/// What a link does with what passes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Passing {
    /// Everything passes at once.
    #[default]
    Open,
    /// Nothing passes; it is delivered once the link is open again.
    Held,
    /// Each chunk takes this much longer, connection by connection.
    Delayed(Duration),
    /// Connections are closed, and new ones are closed at once.
    Reset,
}

/// The switch of one link.
#[derive(Debug)]
pub struct Gate(watch::Sender<Passing>);

impl Default for Gate {
    fn default() -> Self {
        Self(watch::channel(Passing::Open).0)
    }
}

impl Gate {
    /// Sets what the link does from now on, for open connections too.
    pub fn set(&self, passing: Passing) {
        self.0.send_replace(passing);
    }

    /// Waits until something may pass; false if the connection is to be closed instead.
    pub async fn pass(&self) -> bool {
        let mut state = self.0.subscribe();
        let passing = state.wait_for(|p| *p != Passing::Held).await.map_or(Passing::Reset, |p| *p);
        if let Passing::Delayed(by) = passing {
            tokio::time::sleep(by).await;
        }
        passing != Passing::Reset
    }

    async fn closed(&self) {
        let _ = self.0.subscribe().wait_for(|p| *p == Passing::Reset).await;
    }
}

/// Listens on a free port of the loopback interface and forwards connections to `to`. Returns the address.
pub async fn relay(to: String, gate: Arc<Gate>) -> std::io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    tokio::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            tokio::spawn(connect(from, to.clone(), gate.clone()));
        }
    });
    Ok(addr)
}

async fn connect(from: TcpStream, to: String, gate: Arc<Gate>) {
    if !gate.pass().await {
        return;
    }
    let Ok(to) = TcpStream::connect(&to).await else { return };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
    tokio::join!(pump(from_read, to_write, &gate), pump(to_read, from_write, &gate));
}

async fn pump(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, gate: &Gate) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read.unwrap_or(0),
            () = gate.closed() => return,
        };
        if !gate.pass().await {
            return;
        }
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}

#[cfg(test)]
mod tests;
