//! Stand-in of the platform's store: a log of topics with partitions, as the pages describe it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response};

/// The figures of the settings' table `platform`.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
const BYTES_PER_SECOND: f64 = 20e6;
const APPEND_MS: u64 = 2;
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    /// Sequence number, offset and end of the last five appends.
    last: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    producers: HashMap<String, Producer>,
    newest: BTreeMap<String, Vec<u8>>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, keep: Duration) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn push(&mut self, topic: &str, record: &[u8]) {
        if topic.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, value);
            }
        }
        self.records.push_back((Instant::now(), record.to_vec()));
    }
}

/// One append, for the observer.
pub struct Append<'a> {
    pub instance: usize,
    pub topic: &'a str,
    pub sequence: u64,
    pub epoch: u64,
    pub records: &'a [Vec<u8>],
    pub status: u16,
}

type Observer = dyn Fn(&Append) + Send + Sync;

pub struct Store {
    partitions: Mutex<BTreeMap<(String, u64), Partition>>,
    changed: Condvar,
    keep: Duration,
    /// For each instance, until when (in milliseconds from the start) it is turned away with 503.
    turned_away: Vec<AtomicU64>,
    begun: Instant,
    observer: Mutex<Option<Arc<Observer>>>,
}

impl Store {
    pub fn new(instances: usize, keep: Duration) -> Arc<Self> {
        Arc::new(Self {
            partitions: Mutex::default(),
            changed: Condvar::new(),
            keep,
            turned_away: (0..instances).map(|_| AtomicU64::new(0)).collect(),
            begun: Instant::now(),
            observer: Mutex::default(),
        })
    }

    pub fn observe(&self, observer: impl Fn(&Append) + Send + Sync + 'static) {
        *self.observer.lock().unwrap() = Some(Arc::new(observer));
    }

    /// Turns an instance away for that long.
    pub fn turn_away(&self, instance: usize, span: Duration) {
        let until = (self.begun.elapsed() + span).as_millis() as u64;
        self.turned_away[instance].store(until, Ordering::SeqCst);
    }

    fn is_turned_away(&self, instance: usize) -> bool {
        (self.begun.elapsed().as_millis() as u64)
            < self.turned_away[instance].load(Ordering::SeqCst)
    }

    /// Writes the record of a key, as operators and servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut partitions = self.partitions.lock().unwrap();
        partitions.entry((topic.to_owned(), 0)).or_default().push(topic, &record);
        self.changed.notify_all();
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let partitions = self.partitions.lock().unwrap();
        partitions.get(&(topic.to_owned(), 0))?.newest.get(key).cloned()
    }

    pub fn handle(&self, instance: usize, request: &Request) -> Option<Response> {
        if self.is_turned_away(instance) {
            return Response::new(503, "{}");
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/log-append") => self.append(instance, request),
            ("GET", "/api/log-read") => self.read(instance, request),
            ("GET", "/api/log-newest") => self.latest(request),
            _ => Response::new(404, "{}"),
        }
    }

    fn append(&self, instance: usize, request: &Request) -> Option<Response> {
        let topic = request.query("topic")?.to_owned();
        let part = request.query_number("part").unwrap_or(0);
        let records = split(&request.body);
        let epoch = request.query_number("epoch").unwrap_or(0);
        let sequence = request.query_number("seq").unwrap_or(0);
        let (status, body) = match records {
            Some(ref records) if fits(records) && !topic.starts_with("keyed.op") => {
                let mut partitions = self.partitions.lock().unwrap();
                let partition = partitions.entry((topic.clone(), part)).or_default();
                partition.expire(self.keep);
                let producer = request.query("producer");
                let outcome = write(partition, &topic, producer, epoch, sequence, records);
                self.changed.notify_all();
                outcome
            }
            _ => (400, "{\"error\":\"a record or the call is too large\"}".to_owned()),
        };
        let observer = self.observer.lock().unwrap().clone();
        if let (Some(observer), Some(records)) = (observer, &records) {
            observer(&Append { instance, topic: &topic, sequence, epoch, records, status });
        }
        let transfer = Duration::from_secs_f64(request.body.len() as f64 / BYTES_PER_SECOND);
        std::thread::sleep(ANSWER + Duration::from_millis(APPEND_MS) + transfer);
        Response::new(status, body)
    }

    fn read(&self, instance: usize, request: &Request) -> Option<Response> {
        let key = (request.query("topic")?.to_owned(), request.query_number("part").unwrap_or(0));
        let from = request.query_number("from").unwrap_or(0);
        let bytes = request.query_number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.query_number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        std::thread::sleep(ANSWER);
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let partition = partitions.entry(key.clone()).or_default();
            partition.expire(self.keep);
            if from < partition.first {
                return Response::new(410, format!("{{\"firstOffset\":{}}}", partition.first));
            }
            let now = Instant::now();
            if partition.end() > from || now >= until {
                let mut out = partition.end().to_be_bytes().to_vec();
                out.extend(partition.first.to_be_bytes());
                let skip = from.saturating_sub(partition.first) as usize;
                for (_, record) in partition.records.iter().skip(skip) {
                    if out.len() > 16 && out.len() + record.len() + 4 > bytes {
                        break;
                    }
                    out.extend((record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return Response::new(200, out);
            }
            partitions = self.changed.wait_timeout(partitions, until - now).unwrap().0;
            if self.is_turned_away(instance) {
                return Response::new(503, "{}");
            }
        }
    }

    fn latest(&self, request: &Request) -> Option<Response> {
        let key = (request.query("topic")?.to_owned(), request.query_number("part").unwrap_or(0));
        let after = request.query("dependsOn");
        std::thread::sleep(ANSWER);
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        partition.expire(self.keep);
        let later =
            partition.newest.iter().filter(|(key, _)| after.is_none_or(|it| key.as_str() > it));
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, value) in later {
            if items.len() >= 500 || bytes > 0 && bytes + value.len() > 1_000_000 {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                "{{\"key\":{},\"value\":\"{}\",\"offset\":0}}",
                crate::json::quote(key),
                base64(value)
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"endOffset\":{}}}",
            items.join(","),
            partition.end()
        );
        Response::new(200, body)
    }
}

fn fits(records: &[Vec<u8>]) -> bool {
    let total: usize = records.iter().map(Vec::len).sum();
    total <= CALL_BYTES && records.iter().all(|record| record.len() <= RECORD_BYTES)
}

fn write(
    partition: &mut Partition,
    topic: &str,
    producer: Option<&str>,
    epoch: u64,
    sequence: u64,
    records: &[Vec<u8>],
) -> (u16, String) {
    let (offset, end) = (partition.end(), partition.end() + records.len() as u64);
    if let Some(name) = producer {
        let known = partition.producers.contains_key(name);
        let producer = partition.producers.entry(name.to_owned()).or_default();
        if known && epoch < producer.epoch {
            return (409, "{\"reason\":\"fenced\"}".to_owned());
        }
        if known && epoch == producer.epoch {
            if let Some((_, offset, end)) = producer.last.iter().find(|last| last.0 == sequence) {
                return (200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}"));
            }
            if sequence != producer.sequence + 1 {
                let expected = producer.sequence + 1;
                return (409, format!("{{\"reason\":\"seq\",\"seq\":{expected}}}"));
            }
        } else {
            producer.last.clear();
        }
        producer.epoch = epoch;
        producer.sequence = sequence;
        producer.last.push_back((sequence, offset, end));
        if producer.last.len() > 5 {
            producer.last.pop_front();
        }
    }
    for record in records {
        partition.push(topic, record);
    }
    (200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}"))
}

fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(LETTERS[(word >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
