//! Stand-in of the platform's store: a log of topics with partitions, as the pages describe it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response};

/// Appends of a producer whose responses are repeated.
const REMEMBERED_APPENDS: usize = 5;

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);

/// Largest record and largest call, in bytes.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// Most items in one page of newest records.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_048_576;

/// Time without a report after which a runner's entry is removed: three report intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);

#[derive(Default)]
struct Partition {
    first: u64,
    records: VecDeque<(Vec<u8>, Instant)>,
    producers: HashMap<String, Producer>,
    /// Newest value of each key, with its offset, in a keyed topic.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

struct Producer {
    epoch: u64,
    last: u64,
    recent: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topics {
    partitions: HashMap<(String, u32), Partition>,
    reported: HashMap<String, Instant>,
}

pub struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
    keep: Duration,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: Vec<u8>, keyed: bool) {
        let offset = self.end();
        if keyed && !record.is_empty() {
            let length = usize::from(record[0]).min(record.len() - 1);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, offset));
            }
        }
        self.records.push_back((record, Instant::now()));
    }

    fn expire(&mut self, keep: Duration) {
        while self.records.front().is_some_and(|(_, at)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

impl Store {
    pub fn new(keep: Duration) -> Arc<Self> {
        let store = Arc::new(Self { topics: Mutex::default(), changed: Condvar::new(), keep });
        let upkeep = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                upkeep.remove_silent_runners();
                let mut topics = upkeep.topics.lock().unwrap();
                topics.partitions.values_mut().for_each(|part| part.expire(upkeep.keep));
            }
        });
        store
    }

    pub fn handle(&self, request: Request) -> Response {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let part = request.query.get("part").and_then(|text| text.parse().ok()).unwrap_or(0);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/log-append") if topic == "keyed.op" || topic == "keyed.servers" => {
                Response::json(403, "{}".to_owned())
            }
            ("POST", "/api/log-append") => self.append(&topic, part, &request),
            ("GET", "/api/log-read") => self.read(&topic, part, &request),
            ("GET", "/api/log-newest") => self.newest(&topic, part, &request),
            // Runners and the operator write here; no instance of the system calls it.
            ("PUT", "/standin/entry") => {
                let key = request.query.get("key").cloned().unwrap_or_default();
                self.put(&topic, &key, &request.body);
                Response::json(200, "{}".to_owned())
            }
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn append(&self, topic: &str, part: u32, request: &Request) -> Response {
        std::thread::sleep(APPEND_TIME);
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let Some(records) = split_records(&request.body) else {
            return Response::json(400, "{}".to_owned());
        };
        let too_large = records.iter().any(|record| record.len() > RECORD_BYTES);
        if too_large || request.body.len() > CALL_BYTES {
            return Response::json(413, "{}".to_owned());
        }
        let mut topics = self.topics.lock().unwrap();
        let partition = topics.partitions.entry((topic.to_owned(), part)).or_default();
        if let Some(producer) = request.query.get("producer") {
            let (epoch, seq) = (number("epoch").unwrap_or(0), number("seq").unwrap_or(0));
            if let Some(known) = partition.producers.get(producer) {
                if epoch < known.epoch {
                    return Response::json(409, r#"{"reason":"fenced"}"#.to_owned());
                }
                if epoch == known.epoch && seq != known.last + 1 {
                    let repeated = known.recent.iter().find(|(number, _)| *number == seq);
                    return match repeated {
                        Some((_, response)) => Response::json(200, response.clone()),
                        None => Response::json(
                            409,
                            format!(r#"{{"reason":"seq","seq":{}}}"#, known.last + 1),
                        ),
                    };
                }
            }
        }
        if number("at").is_some_and(|at| at != partition.end()) {
            return Response::json(412, format!(r#"{{"endOffset":{}}}"#, partition.end()));
        }
        let offset = partition.end();
        let keyed = topic.starts_with("keyed.");
        for record in records {
            partition.push(record, keyed);
        }
        let response = format!(r#"{{"offset":{offset},"endOffset":{}}}"#, partition.end());
        if let Some(producer) = request.query.get("producer") {
            let (epoch, seq) = (number("epoch").unwrap_or(0), number("seq").unwrap_or(0));
            let known = partition.producers.entry(producer.clone()).or_insert(Producer {
                epoch,
                last: seq,
                recent: VecDeque::new(),
            });
            if known.epoch != epoch {
                known.recent.clear();
            }
            (known.epoch, known.last) = (epoch, seq);
            known.recent.push_back((seq, response.clone()));
            if known.recent.len() > REMEMBERED_APPENDS {
                known.recent.pop_front();
            }
        }
        self.changed.notify_all();
        Response::json(200, response)
    }

    fn read(&self, topic: &str, part: u32, request: &Request) -> Response {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let most = number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let partition = topics.partitions.entry((topic.to_owned(), part)).or_default();
            if from < partition.first {
                return Response::json(410, format!(r#"{{"firstOffset":{}}}"#, partition.first));
            }
            let now = Instant::now();
            if from < partition.end() || now >= until {
                let mut body = partition.end().to_be_bytes().to_vec();
                body.extend_from_slice(&partition.first.to_be_bytes());
                let skipped = (from - partition.first) as usize;
                for (record, _) in partition.records.iter().skip(skipped) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response::raw(body);
            }
            topics = self.changed.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, part: u32, request: &Request) -> Response {
        let after = request.query.get("dependsOn").cloned();
        let mut topics = self.topics.lock().unwrap();
        let partition = topics.partitions.entry((topic.to_owned(), part)).or_default();
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, (value, offset)) in &partition.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || (bytes > 0 && bytes + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                r#"{{"key":{},"value":"{}","offset":{offset}}}"#,
                crate::json::quote(key),
                base64(value)
            ));
        }
        let (items, end) = (items.join(","), partition.end());
        Response::json(
            200,
            format!(r#"{{"items":[{items}],"hasMore":{has_more},"endOffset":{end}}}"#),
        )
    }

    /// Writes a key of a keyed topic; an empty value drops it.
    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        if topic == "keyed.servers" {
            topics.reported.insert(key.to_owned(), Instant::now());
        }
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let partition = topics.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.push(record, true);
        self.changed.notify_all();
    }

    fn remove_silent_runners(&self) {
        let silent: Vec<String> = {
            let mut topics = self.topics.lock().unwrap();
            let silent = topics.reported.iter().filter(|(_, at)| at.elapsed() > ENTRY_LIFETIME);
            let silent: Vec<String> = silent.map(|(key, _)| key.clone()).collect();
            silent.iter().for_each(|key| {
                topics.reported.remove(key);
            });
            silent
        };
        for key in silent {
            self.put("keyed.servers", &key, b"");
            self.topics.lock().unwrap().reported.remove(&key);
        }
    }
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
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
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(LETTERS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
