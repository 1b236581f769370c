//! Loopback addresses that no other process uses.
//!
//! Each started process gets an address of its own in 127.0.0.0/8. A port of 127.0.0.1 may be taken
//! by any outgoing connection of the machine while its process is being restarted; these cannot.

use std::net::Ipv4Addr;
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

const HOSTS: u32 = 254;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address that this test process has not handed out before.
pub fn unique() -> Ipv4Addr {
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(count < HOSTS * 8, "too many processes in one test run");
    let (net, host) = (count / HOSTS, 1 + count % HOSTS);
    let [.., high, low] = process::id().to_be_bytes();
    let second = 64 + (high % 16) * 8 + u8::try_from(net).expect("fewer than eight nets");
    Ipv4Addr::new(127, second, low, u8::try_from(host).expect("at most 254 hosts"))
}
