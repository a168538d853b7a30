//! Network links as relays on the loopback interface, which can hold, delay and reset connections.
//!
//! Held data is delivered in order once the link is open again, even if the sender has given up and closed the
//! connection meanwhile. That is how late requests come about.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Number of bytes read at once, which is also the maximum that a relay holds per direction of a connection.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// How a link treats the data and connections on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Data is forwarded at once.
    #[default]
    Open,
    /// Data is held, and delivered once the link is open again.
    Held,
    /// Each chunk is delayed by this time; the connections are independent of each other.
    Delayed(Duration),
    /// Open connections are closed, and new ones are closed at once.
    Reset,
}

/// The switch that sets the state of one link.
#[derive(Debug)]
pub struct LinkSwitch(watch::Sender<LinkState>);

impl Default for LinkSwitch {
    fn default() -> Self {
        Self(watch::channel(LinkState::Open).0)
    }
}

impl LinkSwitch {
    /// Sets the state of the link, for open connections as well.
    pub fn set(&self, state: LinkState) {
        self.0.send_replace(state);
    }

    /// Waits until data may be forwarded; returns false if the connection must be closed instead.
    pub async fn wait_to_forward(&self) -> bool {
        let mut states = self.0.subscribe();
        let state = states.wait_for(|p| *p != LinkState::Held).await.map_or(LinkState::Reset, |p| *p);
        if let LinkState::Delayed(delay) = state {
            tokio::time::sleep(delay).await;
        }
        state != LinkState::Reset
    }

    /// Waits until the link is reset.
    async fn wait_for_reset(&self) {
        let _ = self.0.subscribe().wait_for(|p| *p == LinkState::Reset).await;
    }
}

/// Listens on a free port of the loopback interface and forwards connections to the address `to`. Returns the
/// listener's address.
pub async fn relay(to: String, switch: Arc<LinkSwitch>) -> std::io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?.to_string();
    tokio::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            tokio::spawn(forward_connection(from, to.clone(), switch.clone()));
        }
    });
    Ok(addr)
}

/// Forwards one connection, both ways.
async fn forward_connection(from: TcpStream, to: String, switch: Arc<LinkSwitch>) {
    if !switch.wait_to_forward().await {
        return;
    }
    let Ok(to) = TcpStream::connect(&to).await else { return };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
    tokio::join!(forward_data(from_read, to_write, &switch), forward_data(to_read, from_write, &switch));
}

/// Forwards data in one direction until the connection ends or the link is reset.
async fn forward_data(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, switch: &LinkSwitch) {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read.unwrap_or(0),
            () = switch.wait_for_reset() => return,
        };
        if !switch.wait_to_forward().await {
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
