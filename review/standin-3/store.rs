//! Stand-in of the platform's store: a log with partitions and keyed topics, as in PROTOCOL.md.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response};

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Number of the latest appends of a producer whose repetition gets its first response again.
const REMEMBERED_APPENDS: usize = 5;

/// Limits of one page of the newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Limits that the settings of the system state.
#[derive(Clone, Copy)]
pub struct Limits {
    pub keep: Duration,
    pub record_bytes: usize,
    pub call_bytes: usize,
}

pub struct Store {
    limits: Limits,
    partitions: Mutex<HashMap<(String, u32), Partition>>,
    appended: Condvar,
}

#[derive(Default)]
struct Partition {
    records: VecDeque<(Instant, Vec<u8>)>,
    /// Offset of the first record that is kept.
    first: u64,
    producer: Option<Producer>,
    /// Value and offset of the newest record of each key.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

struct Producer {
    epoch: u64,
    /// Sequence number and response of the latest appends.
    latest: VecDeque<(u64, String)>,
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

    fn append(&mut self, record: Vec<u8>, is_keyed: bool) {
        let offset = self.end();
        if is_keyed && let Some((length, rest)) = record.split_first() {
            let (key, value) = rest.split_at((*length as usize).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value.to_vec(), offset));
            }
        }
        self.records.push_back((Instant::now(), record));
    }
}

impl Store {
    pub fn new(limits: Limits) -> Self {
        Self { limits, partitions: Mutex::default(), appended: Condvar::new() }
    }

    /// Writes a record of a keyed topic, as operators and runners do. Without a value the key is
    /// dropped.
    pub fn write_keyed(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut partitions = self.partitions.lock().unwrap();
        partitions.entry((topic.to_owned(), 0)).or_default().append(record, true);
        self.appended.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Response {
        std::thread::sleep(ANSWER_TIME);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/log-append") => self.append(request),
            ("GET", "/api/log-read") => self.read(request),
            ("GET", "/api/log-newest") => self.newest(request),
            _ => Response::new(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Response {
        let Some(records) = split_records(&request.body) else {
            return Response::new(400, r#"{"error":"not a list of records"}"#);
        };
        if records.iter().any(|record| record.len() > self.limits.record_bytes) {
            return Response::new(400, r#"{"error":"a record has more than recordBytes"}"#);
        }
        if request.body.len() > self.limits.call_bytes {
            return Response::new(400, r#"{"error":"the call has more than callBytes"}"#);
        }
        let key = partition_of(request);
        let is_keyed = key.0.starts_with("keyed.");
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        if number(request, "at").is_some_and(|at| at != partition.end()) {
            return Response::new(412, format!(r#"{{"endOffset":{}}}"#, partition.end()));
        }
        let named = number(request, "epoch").zip(number(request, "seq"));
        if let Some((epoch, sequence)) = named
            && let Some(refusal) = partition.refusal(epoch, sequence)
        {
            return refusal;
        }
        let offset = partition.end();
        for record in records {
            partition.append(record.to_vec(), is_keyed);
        }
        let answer = format!(r#"{{"offset":{offset},"endOffset":{}}}"#, partition.end());
        if let Some((epoch, sequence)) = named {
            partition.note(epoch, sequence, &answer);
        }
        self.appended.notify_all();
        Response::new(200, answer)
    }

    fn read(&self, request: &Request) -> Response {
        let from = number(request, "from").unwrap_or(0);
        let wait = Duration::from_millis(number(request, "waitMs").unwrap_or(0).min(30_000));
        let most = number(request, "maxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let key = partition_of(request);
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let partition = partitions.entry(key.clone()).or_default();
            partition.expire(self.limits.keep);
            if from < partition.first {
                let body = format!(r#"{{"firstOffset":{}}}"#, partition.first);
                return Response::new(410, body);
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < partition.end() || left.is_zero() {
                return Response::new(200, page(partition, from, most));
            }
            partitions = self.appended.wait_timeout(partitions, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Response {
        let after = request.query.get("dependsOn");
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(partition_of(request)).or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, offset)) in &partition.newest {
            if after.is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == PAGE_RECORDS || (bytes + value.len() > PAGE_BYTES && bytes > 0) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (crate::json::quote(key), base64(value));
            items.push(format!(r#"{{"key":{key},"value":"{value}","offset":{offset}}}"#));
        }
        let (items, end) = (items.join(","), partition.end());
        let body = format!(r#"{{"items":[{items}],"hasMore":{has_more},"endOffset":{end}}}"#);
        Response::new(200, body)
    }
}

impl Partition {
    /// Returns the answer to an append that is not written; `None` if it is to be.
    fn refusal(&self, epoch: u64, sequence: u64) -> Option<Response> {
        let producer = self.producer.as_ref()?;
        if epoch < producer.epoch {
            return Some(Response::new(409, r#"{"reason":"fenced"}"#));
        }
        let (last, _) = producer.latest.back()?;
        if epoch > producer.epoch || sequence == last + 1 {
            return None;
        }
        let mut latest = producer.latest.iter();
        Some(match latest.find(|(number, _)| *number == sequence) {
            Some((_, answer)) => Response::new(200, answer.as_str()),
            None => Response::new(409, format!(r#"{{"reason":"seq","seq":{}}}"#, last + 1)),
        })
    }

    fn note(&mut self, epoch: u64, sequence: u64, answer: &str) {
        if self.producer.as_ref().is_none_or(|producer| producer.epoch != epoch) {
            self.producer = Some(Producer { epoch, latest: VecDeque::new() });
        }
        let Some(producer) = &mut self.producer else { return };
        producer.latest.push_back((sequence, answer.to_owned()));
        if producer.latest.len() > REMEMBERED_APPENDS {
            producer.latest.pop_front();
        }
    }
}

fn page(partition: &Partition, from: u64, most: usize) -> Vec<u8> {
    let mut body = partition.end().to_be_bytes().to_vec();
    body.extend(partition.first.to_be_bytes());
    let skipped = (from - partition.first).min(partition.records.len() as u64) as usize;
    for (_, record) in partition.records.iter().skip(skipped) {
        if body.len() > 16 && body.len() + record.len() > most {
            break;
        }
        body.extend((record.len() as u32).to_be_bytes());
        body.extend(record);
    }
    body
}

fn partition_of(request: &Request) -> (String, u32) {
    let topic = request.query.get("topic").cloned().unwrap_or_default();
    (topic, number(request, "part").unwrap_or(0) as u32)
}

fn number(request: &Request, name: &str) -> Option<u64> {
    request.query.get(name)?.parse().ok()
}

fn split_records(mut body: &[u8]) -> Option<Vec<&[u8]>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record);
        body = rest;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let is_filled = digit <= chunk.len();
            let value = (bits >> (18 - 6 * digit)) as usize & 63;
            text.push(if is_filled { DIGITS[value] as char } else { '=' });
        }
    }
    text
}
