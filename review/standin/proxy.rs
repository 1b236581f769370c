//! A TCP proxy in front of a runner, which can be cut: then nothing passes in either direction, and
//! no connection ends. What was held up passes once the cut has healed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);

/// Switch of one proxy.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.0.load(Ordering::SeqCst) {
            std::thread::sleep(STEP);
        }
    }
}

/// Forwards connections to `listener` to `target` for as long as the process lives.
pub fn start(listener: TcpListener, target: SocketAddr, cut: Cut) {
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cut = cut.clone();
            std::thread::spawn(move || {
                cut.wait();
                let Ok(server) = TcpStream::connect(target) else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
                let back = cut.clone();
                std::thread::spawn(move || pump(from, to, &back));
                pump(server, client, &cut);
            });
        }
    });
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &Cut) {
    let mut chunk = [0; 65_536];
    loop {
        let read = from.read(&mut chunk);
        cut.wait();
        match read {
            Ok(read) if read > 0 && to.write_all(&chunk[..read]).is_ok() => {}
            _ => {
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
