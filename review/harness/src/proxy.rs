//! A proxy between two controllers, whose connections can be held up or refused.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub const PASS: u8 = 0;
/// Nothing is passed on; connections stay open.
pub const HOLD: u8 = 1;
/// Connections are closed, also new ones.
pub const REFUSE: u8 = 2;

fn copy(mut from: TcpStream, mut to: TcpStream, switch: &AtomicU8) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buffer = [0; 16384];
    loop {
        match switch.load(Ordering::Relaxed) {
            REFUSE => break,
            HOLD => {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            _ => {}
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => {
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Starts a proxy to an address, and returns its own address.
pub fn start(to: String, switch: Arc<AtomicU8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if switch.load(Ordering::Relaxed) == REFUSE {
                continue;
            }
            let Ok(target) = TcpStream::connect(&to) else { continue };
            let (Ok(stream2), Ok(target2)) = (stream.try_clone(), target.try_clone()) else { continue };
            let (switch1, switch2) = (switch.clone(), switch.clone());
            std::thread::spawn(move || copy(stream, target, &switch1));
            std::thread::spawn(move || copy(target2, stream2, &switch2));
        }
    });
    addr
}
