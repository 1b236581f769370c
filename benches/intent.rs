//! Latency and appends of at-most-once requests at 1, 3 and 9 instances, and the cost of keys.
//!
//! `cargo bench --bench intent` prints one table for the requests, over an in-memory log that
//! answers after [`APPEND`] and [`READ`], and one for the first read of a stream.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use hdrhistogram::Histogram;
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::clock::{Clock, System, Unix};
use oriolefork::intent::{
    Admission, AttemptId, Batch, Deduplicator, Entry, ExecutionOutcome, Intent, Key, Kind,
    Partition, Policy, RecordedResponse, Request, encode,
};
use oriolefork::store::{Error, Offset, Page, Record, Store};

/// Latency of an append to the log.
const APPEND: Duration = Duration::from_millis(3);
/// Latency of a read of the log.
const READ: Duration = Duration::from_millis(1);
/// Run time of the work.
const WORK: Duration = Duration::from_millis(5);
const RUN: Duration = Duration::from_secs(4);
const TIMEOUT: Duration = Duration::from_secs(10);
const PAGE: usize = 1000;
const INSTANCES: [u32; 3] = [1, 3, 9];
const RATES: [u32; 4] = [20, 100, 500, 2000];
const KEYS: [u64; 3] = [10_000, 20_000, 40_000];
const KEYS_PER_BATCH: u64 = 4;

/// An in-memory log.
#[derive(Default)]
struct Memory {
    streams: RefCell<HashMap<String, Vec<Bytes>>>,
}

impl Store for Memory {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>> {
        async move {
            monoio::time::sleep(APPEND / 2).await;
            let offset = {
                let mut streams = self.streams.borrow_mut();
                let records = streams.entry(stream.to_owned()).or_default();
                records.push(payload);
                records.len() as Offset - 1
            };
            monoio::time::sleep(APPEND / 2).await;
            Ok(offset)
        }
        .boxed_local()
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        _wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, Error>> {
        async move {
            monoio::time::sleep(READ / 2).await;
            let page = {
                let streams = self.streams.borrow();
                page(streams.get(stream).map_or(&[][..], Vec::as_slice), from)
            };
            monoio::time::sleep(READ / 2).await;
            Ok(page)
        }
        .boxed_local()
    }
}

fn page(records: &[Bytes], from: Offset) -> Page {
    let start = usize::try_from(from).unwrap_or(usize::MAX).min(records.len());
    let kept = (from..).zip(&records[start..]).take(PAGE);
    let records_of = kept.map(|(offset, payload)| Record { offset, payload: payload.clone() });
    Page { records: records_of.collect(), oldest: 0, end: records.len() as Offset }
}

/// How often an instance may append.
#[derive(Clone, Copy)]
enum Pacing {
    /// An append as soon as the previous one has ended.
    Eager,
    /// The default policy: appends limited by the instance's token bucket.
    Limited,
}

impl Pacing {
    fn policy(self) -> Policy {
        match self {
            Self::Eager => Policy {
                appends_per_second: 1_000_000,
                burst: 1_000_000,
                linger: Duration::ZERO,
                outcome_delay: Duration::ZERO,
                ..Policy::default()
            },
            Self::Limited => Policy::default(),
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Eager => "eager",
            Self::Limited => "budget",
        }
    }
}

/// Results of one run.
struct Run {
    latency: Histogram<u64>,
    won: u64,
    refused: u64,
    appends: u64,
    reads: u64,
    contiguous: u64,
    busy: Duration,
}

async fn measure(pacing: Pacing, instances: u32, rate: u32) -> Run {
    let store: Rc<dyn Store> = Rc::new(Memory::default());
    let clock = Rc::new(System::start());
    let deduplicators: Vec<Deduplicator> = (0..instances)
        .map(|number| {
            let name = format!("entry-{number}");
            let (deduplicator, driver) = Deduplicator::new(
                &name,
                u64::from(number),
                pacing.policy(),
                Rc::clone(&store),
                Rc::clone(&clock) as Rc<dyn Clock>,
            );
            monoio::spawn(driver.run(Duration::ZERO));
            deduplicator.preload();
            deduplicator
        })
        .collect();
    monoio::time::sleep(Duration::from_millis(50)).await;
    let busy = processor_time();
    let total = rate * u32::try_from(RUN.as_secs()).expect("short");
    let start = monoio::time::Instant::now();
    let mut asked = Vec::new();
    for number in 0..total {
        monoio::time::sleep_until(start + RUN * number / total).await;
        let deduplicator = deduplicators[(number % instances) as usize].clone();
        asked.push(monoio::spawn(ask(deduplicator, Rc::clone(&clock), number)));
    }
    let answers = join_all(asked).await;
    monoio::time::sleep(Pacing::Limited.policy().outcome_delay * 2).await;
    let mut run = Run {
        latency: Histogram::new(3).expect("three digits"),
        won: 0,
        refused: 0,
        appends: 0,
        reads: 0,
        contiguous: 0,
        busy: processor_time().saturating_sub(busy),
    };
    for latency in answers {
        match latency {
            Some(latency) => {
                run.won += 1;
                run.latency.record(latency.as_micros() as u64).expect("in range");
            }
            None => run.refused += 1,
        }
    }
    for deduplicator in &deduplicators {
        let stats = deduplicator.stats().await.expect("the deduplicator runs");
        run.appends += stats.appends;
        run.reads += stats.reads;
        run.contiguous += stats.contiguous;
    }
    run
}

/// Runs one request and returns the time until it won its key; `None` if it was refused.
async fn ask(deduplicator: Deduplicator, clock: Rc<System>, number: u32) -> Option<Duration> {
    let key = Key::new(Kind::Request, "portal", &format!("request-{number}")).expect("valid");
    let request = Request { key, created: clock.unix(), fingerprint: 0, domain: None };
    let start = monoio::time::Instant::now();
    let Admission::Granted(permit) = deduplicator.begin(request, TIMEOUT).await else {
        return None;
    };
    let latency = start.elapsed();
    let work = permit.start();
    monoio::time::sleep(WORK).await;
    let body = Bytes::from_static(b"renewed");
    work.finish(ExecutionOutcome::Responded(RecordedResponse::new(200, "text/plain", &body, 4096)));
    Some(latency)
}

/// User and system time of this process, which the kernel counts in clock ticks.
fn processor_time() -> Duration {
    const TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the kernel's process status");
    let after_name = stat.rsplit_once(')').expect("a name in brackets").1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: u32 = fields[11..13].iter().map(|field| field.parse::<u32>().expect("ticks")).sum();
    TICK * ticks
}

fn requests() {
    println!("| pacing | instances | requests/s | p50 ms | p99 ms | appends/s | appends/request |");
    println!("| reads/request | contiguous | processor us/request | not run |");
    for pacing in [Pacing::Eager, Pacing::Limited] {
        for instances in INSTANCES {
            for rate in RATES {
                let builder = RuntimeBuilder::<LegacyDriver>::new();
                let mut runtime = builder.enable_timer().build().expect("a runtime");
                let run = runtime.block_on(measure(pacing, instances, rate));
                row(pacing, instances, rate, &run);
            }
        }
    }
}

fn row(pacing: Pacing, instances: u32, rate: u32, run: &Run) {
    let asked = (run.won + run.refused) as f64;
    let millis = |quantile| run.latency.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "| {} | {instances} | {rate} | {:.1} | {:.1} | {:.0} | {:.2} | {:.2} | {:.0} % | {:.0} | {} |",
        pacing.name(),
        millis(0.5),
        millis(0.99),
        run.appends as f64 / RUN.as_secs_f64(),
        run.appends as f64 / asked,
        run.reads as f64 / asked,
        100.0 * run.contiguous as f64 / run.appends as f64,
        run.busy.as_micros() as f64 / asked,
        run.refused,
    );
}

/// Measures the first read of a stream with `keys` keys and their outcomes.
fn first_read(keys: u64) {
    let now = Unix::from_millis(1_800_000_000_000);
    let records: Vec<Bytes> = (0..keys / KEYS_PER_BATCH).map(|number| batch(number, now)).collect();
    let bytes: usize = records.iter().map(Bytes::len).sum();
    let policy = Policy { max_partition_bytes: usize::MAX, ..Policy::default() };
    let mut partition = Partition::new(0, Rc::new(policy));
    let resident = resident_kib();
    let start = Instant::now();
    while partition.next_offset() < records.len() as Offset {
        let page = page(&records, partition.next_offset());
        partition.apply(&page, now).expect("a page");
    }
    let took = start.elapsed();
    println!(
        "| {keys} | {:.1} | {:.2} | {:.0} | {:.0} | {:.0} |",
        took.as_secs_f64() * 1000.0,
        took.as_secs_f64() * 1e6 / keys as f64,
        bytes as f64 / keys as f64,
        partition.bytes() as f64 / keys as f64,
        (resident_kib().saturating_sub(resident) * 1024) as f64 / keys as f64,
    );
}

fn batch(number: u64, now: Unix) -> Bytes {
    let id = AttemptId { run: 1, serial: number };
    let entries = (0..KEYS_PER_BATCH).flat_map(|position| {
        let serial = number * KEYS_PER_BATCH + position;
        let attempt = AttemptId { run: 2, serial };
        let name = format!("01890a5d-ac96-774b-bcce-{serial:012}");
        let key = Key::new(Kind::Request, "portal", &name).expect("valid");
        let body = Bytes::from_static(b"{\"renewed\":true}");
        let outcome = ExecutionOutcome::Responded(RecordedResponse::new(
            200,
            "application/json",
            &body,
            4096,
        ));
        let intent =
            Intent { attempt, key: key.clone(), created: now, fingerprint: serial, domain: None };
        [Entry::Intent(intent), Entry::Outcome { attempt, key, created: now, outcome }]
    });
    let entries = entries.collect();
    let writer = "erie-hall-1".to_owned();
    encode(&Batch { partition: 0, writer, id, read_until: number, latest_created: now, entries })
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the kernel's status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a resident size");
    line.split_whitespace().nth(1).and_then(|size| size.parse().ok()).expect("a number")
}

fn main() {
    println!("| keys | first read ms | us/key | log bytes/key | counted bytes/key | resident |");
    KEYS.into_iter().for_each(first_read);
    println!();
    requests();
}
