//! Stand-ins of the platform's store, of workers and of clients, and the cases that use them.
//! Standard library only; `review/build.sh` compiles it. `standin CASE RECORD` plays one case.
//!
//! Everything listens on loopback addresses. `TROUBLE=0` leaves the disruption of a case out.
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}
const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
/// The kernel's option by which a process is killed when the one that started it ends, for a case that is broken off.
const PR_SET_PDEATHSIG: i32 = 1;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone)]
enum Json {
    Null,
    Bool,
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }
    fn space(b: &[u8], at: &mut usize) {
        while b.get(*at).is_some_and(|c| c.is_ascii_whitespace()) {
            *at += 1;
        }
    }
    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b'}' => break,
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(key) = Self::value(b, at)? else { return None };
                            Self::space(b, at);
                            if *b.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            rows.push((key, Self::value(b, at)?));
                        }
                    }
                }
                *at += 1;
                Some(Json::Table(rows))
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b']' => break,
                        b',' => *at += 1,
                        _ => items.push(Self::value(b, at)?),
                    }
                }
                *at += 1;
                Some(Json::List(items))
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *b.get(*at)? {
                        b'"' => break,
                        b'\\' => {
                            *at += 1;
                            match *b.get(*at)? {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'u' => *at += 4,
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Json::Text(String::from_utf8(text).ok()?))
            }
            b't' => Self::word(at, 4, Json::Bool),
            b'f' => Self::word(at, 5, Json::Bool),
            b'n' => Self::word(at, 4, Json::Null),
            _ => {
                let start = *at;
                while b.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                    *at += 1;
                }
                std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
    fn word(at: &mut usize, len: usize, value: Json) -> Option<Json> {
        *at += len;
        Some(value)
    }
    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }
    fn num(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Num(number)) => *number as u64,
            _ => 0,
        }
    }
    fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let sign = SIGNS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { sign } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with milliseconds since the start of the case.
struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
    fn add(&self, line: String) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line));
    }
}

// ---------------------------------------------------------------- HTTP

struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v.as_str())
    }
    fn status(&self) -> u32 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads one request or response; `None` if the connection ends before it is complete.
fn read_message<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: Vec::new() };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn reply(stream: &mut TcpStream, status: u32, extra: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{extra}\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

fn query(target: &str, name: &str) -> String {
    let text = target.split_once('?').map_or("", |(_, q)| q);
    let found = text.split('&').filter_map(|it| it.split_once('=')).find(|(k, _)| *k == name);
    let value = found.map_or("", |(_, v)| v).as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < value.len() {
        if value[at] == b'%' && at + 2 < value.len() + 0 {
            let hex = std::str::from_utf8(&value[at + 1..at + 3]).unwrap_or("00");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(0));
            at += 3;
        } else {
            out.push(if value[at] == b'+' { b' ' } else { value[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        self.log.push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, it)| it.lease == lease).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|it| self.remove(it));
    }
}

/// The platform's store: linearizable, loses nothing, ends leases on time.
#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn start() -> Store {
        let state = StoreState { revision: 100, next_lease: 70_000, ..StoreState::default() };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let expiring = store.clone();
        thread::spawn(move || loop {
            sleep(ms(20));
            let mut state = expiring.state.0.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<u64> =
                state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
            ended.iter().for_each(|it| state.end_lease(*it));
            if !ended.is_empty() {
                expiring.state.1.notify_all();
            }
        });
        store
    }
    fn put(&self, key: &str, value: &str) {
        self.state.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }
    fn count(&self, prefix: &str) -> usize {
        self.state.0.lock().unwrap().items.keys().filter(|it| it.starts_with(prefix)).count()
    }
    /// Listens on a further address, whose callers are turned away with 503 while `gate` is set.
    fn listen(&self, gate: Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), gate.clone());
                thread::spawn(move || store.serve(stream, &gate));
            }
        });
        address
    }
    fn serve(&self, mut stream: TcpStream, gate: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = match gate.load(Ordering::Relaxed) {
                true => (503, "{}".to_owned()),
                false => self.answer(&request, gate),
            };
            sleep(ms(4));
            if !reply(&mut stream, status, "", &body) {
                return;
            }
        }
    }
    fn row(key: &str, it: &Item) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
            it.value, it.revision, it.created, it.lease
        )
    }
    fn answer(&self, request: &Message, gate: &AtomicBool) -> (u32, String) {
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let path = target.split('?').next().unwrap_or("");
        let body = Json::parse(std::str::from_utf8(&request.body).unwrap_or("")).unwrap_or(Json::Null);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        match (method, path) {
            ("GET", "/-/kv-key") => {
                let key = query(target, "key");
                match state.items.get(&key) {
                    Some(item) => (200, Self::row(&key, item)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (query(target, "pathPrefix"), query(target, "after"));
                let found = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let mut rows: Vec<String> = found.map(|(k, it)| Self::row(k, it)).take(501).collect();
                let more = rows.len() > 500;
                rows.truncate(500);
                let as_of = state.revision;
                (200, format!("{{\"items\":[{}],\"hasMore\":{more},\"asOf\":{as_of}}}", rows.join(",")))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = query(target, "pathPrefix");
                let after: u64 = query(target, "after").parse().unwrap_or(0);
                let wait = ms(query(target, "waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let rows: Vec<String> = state
                        .log
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => Self::row(key, item),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let as_of = state.revision;
                        return (200, format!("{{\"events\":[{}],\"asOf\":{as_of}}}", rows.join(",")));
                    }
                    state = changed.wait_timeout(state, left.min(ms(50))).unwrap().0;
                    if gate.load(Ordering::Relaxed) {
                        return (503, "{}".into());
                    }
                }
            }
            ("POST", "/-/kv-txn") => {
                let conditions = body.list("precondition");
                let holds = conditions.iter().all(|it| {
                    let revision = state.items.get(&it.text("key")).map_or(0, |it| it.revision);
                    revision == it.num("revision")
                });
                if !holds {
                    let rows: Vec<String> = conditions
                        .iter()
                        .filter_map(|it| {
                            let key = it.text("key");
                            state.items.get(&key).map(|item| Self::row(&key, item))
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
                }
                let puts = body.list("puts");
                if puts.iter().any(|it| it.num("lease") != 0 && !state.leases.contains_key(&it.num("lease"))) {
                    return (404, "{}".into());
                }
                for it in &puts {
                    state.put(&it.text("key"), it.text("value"), it.num("lease"));
                }
                for it in body.list("remove") {
                    if let Json::Text(key) = it {
                        state.remove(&key);
                    }
                }
                changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/-/kv-lease") => {
                let ttl = body.num("ttlMs").clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ms(ttl), ms(ttl)));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", keep) if keep.starts_with("/-/kv-keep/") => {
                let lease: u64 = keep.rsplit('/').next().unwrap().parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", end) if end.starts_with("/-/kv-lease-end/") => {
                let lease: u64 = end.rsplit('/').next().unwrap().parse().unwrap_or(0);
                let known = state.leases.contains_key(&lease);
                state.end_lease(lease);
                changed.notify_all();
                (if known { 200 } else { 404 }, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

// ---------------------------------------------------------------- worker

/// One run of a request at a worker.
#[derive(Clone)]
struct Run {
    id: String,
    tenant: String,
    at: u64,
    ended: Option<u64>,
}

#[derive(Clone)]
struct Worker {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    slots: u32,
    running: Arc<AtomicU32>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
    /// Whether each run is written to the record.
    is_told: bool,
}

impl Worker {
    /// Starts a sound worker and registers it. A path ends with the milliseconds of its work.
    fn start(record: &Arc<Record>, store: &Store, id: &str, service: &str, zone: &str, slots: u32, is_told: bool) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            slots,
            running: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
            is_told,
        };
        store.put(&format!("servers/{id}"), &worker.entry());
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }
    fn entry(&self) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":1796000000000,\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":4,\"warmupLeftMs\":0}}}}",
            self.address, self.service, self.zone, self.slots
        )
    }
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            let id = request.header("x-request-id").to_owned();
            let load = |it: u32| format!("X-Server-Load: {it},0,{}\r\n", self.slots);
            let own = format!("X-Instance-Id: {}\r\n", self.id);
            if target == "/health" {
                let extra = own + &load(self.running.load(Ordering::Relaxed));
                if !reply(&mut stream, 200, &extra, "") {
                    return;
                }
                continue;
            }
            let echoed = format!("X-Request-Id: {id}\r\n");
            let wanted = request.header("x-target-instance");
            if !wanted.is_empty() && wanted != self.id {
                if !reply(&mut stream, 421, &(echoed + &own), "") {
                    return;
                }
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
            if running > self.slots {
                self.running.fetch_sub(1, Ordering::Relaxed);
                let extra = echoed + "X-Not-Executed: 1\r\n" + &load(running - 1);
                if !reply(&mut stream, 503, &extra, "") {
                    return;
                }
                continue;
            }
            let index = {
                let mut runs = self.runs.lock().unwrap();
                let tenant = request.header("x-tenant").to_owned();
                runs.push(Run { id: id.clone(), tenant, at: self.record.now(), ended: None });
                runs.len() - 1
            };
            if self.is_told {
                self.record.add(format!("worker {} runs {id} ({target})", self.id));
            }
            let work = target.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(10);
            sleep(ms(work));
            let left = self.running.fetch_sub(1, Ordering::Relaxed) - 1;
            self.runs.lock().unwrap()[index].ended = Some(self.record.now());
            let signed = format!("X-Response-Signature: {}.{id}\r\n", self.id);
            let body = format!("{{\"done\":\"{id}\"}}");
            let is_sent = reply(&mut stream, 200, &(echoed + &signed + &load(left)), &body);
            if self.is_told {
                let how = if is_sent { "answers" } else { "can't answer" };
                self.record.add(format!("worker {} has done {id} and {how}", self.id));
            }
            if !is_sent {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- hosts

struct Host {
    name: String,
    region: String,
    caller: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Set while the store turns this host away.
    gate: Arc<AtomicBool>,
}

/// A free port on a loopback address that only host `idx` of this case uses.
fn free_address(idx: usize) -> SocketAddr {
    let ip = format!("127.{}.{}.{}:0", 30 + std::process::id() % 200, std::process::id() / 200 % 250 + 1, idx + 1);
    TcpListener::bind(ip).unwrap().local_addr().unwrap()
}

/// Folder of the case, which is removed at its end.
struct Bed {
    folder: PathBuf,
    store: Store,
    hosts: Vec<Host>,
}

impl Bed {
    fn start(name: &str) -> Bed {
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Bed { folder, store: Store::start(), hosts: Vec::new() }
    }
    /// Writes the settings of the hosts at `places` (region, zone), as the template of the deploy file gives them.
    fn add_hosts(&mut self, places: &[(&str, &str)], zones: &str, grace: u32, memory_mb: u32) {
        let peers: Vec<SocketAddr> = (0..places.len()).map(free_address).collect();
        let seeds: Vec<String> = peers.iter().take(3).map(|it| format!("\"{it}\"")).collect();
        for (idx, (region, zone)) in places.iter().enumerate() {
            let name = format!("front-{zone}-{}", idx + 1);
            let gate = Arc::new(AtomicBool::new(false));
            let store = self.store.listen(gate.clone());
            let (caller, readiness) = (free_address(idx), free_address(idx));
            let text = format!(
                "host: \"{name}\"\nregion: \"{region}\"\ndatacentre: \"{zone}\"\nregions: {zones}\n\
                 listen:\n  caller: \"{caller}\"\n  readiness: \"{readiness}\"\n  directory: \"{}\"\n  peer: \"{}\"\n  metrics: \"{}\"\n\
                 seeds: [{}]\nmanaged:\n  store: \"{}\"\n  min_lease: \"1000ms\"\nmemory: \"{memory_mb}MB\"\n\
                 machine:\n  cores: 0.2\n  link_mbps: 1000.0\n\
                 bounds:\n  quota_tolerance: 0.1\n  quota_slack: 20\n  retry_ratio: 0.2\n  retry_slack: 64\n  exposed_share: 0.1\n\
                 \x20 exposed_requests: 50\n  name_lifetime: \"5s\"\n  apply_time: \"2000ms\"\n  stop_grace: \"{grace}s\"\nlog:\n  level: info\n",
                free_address(idx), peers[idx], free_address(idx), seeds.join(", "), store
            );
            let settings = self.folder.join(format!("{name}.yaml"));
            std::fs::write(&settings, text).unwrap();
            let log = self.folder.join(format!("{name}.log"));
            let region = region.to_string();
            self.hosts.push(Host { name, region, caller, readiness, settings, log, child: None, gate });
        }
        for host in &mut self.hosts {
            host.spawn();
        }
    }
    fn wait_ready(&self) -> bool {
        let end = Instant::now() + ms(15_000);
        while Instant::now() < end {
            if self.hosts.iter().all(Host::is_ready) {
                return true;
            }
            sleep(ms(50));
        }
        false
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Host {
    fn spawn(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new("target/release/sapphireknotd");
        // SAFETY: one system call, which changes only the process that is being started.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = child.ok();
    }
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    fn terminate(&self) {
        if let Some(child) = &self.child {
            // SAFETY: plain system call with the id of a process that this program started and has not waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }
    /// Resident memory of the process now, in MB.
    fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or("0");
        line.split_whitespace().next().and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) / 1_000
    }
    fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|it| it.try_wait().ok().flatten().is_some())
    }
    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness, ms(300)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ = stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        read_message(&mut BufReader::new(stream)).is_some_and(|it| it.status() == 200)
    }
}

// ---------------------------------------------------------------- clients

/// Head of a request; the deadline is in milliseconds.
fn head(method: &str, path: &str, id: &str, key: &str, deadline: u64, length: usize) -> String {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: survey.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\nAuthorization: Bearer {key}\r\n"
    );
    if length > 0 {
        let _ = write!(text, "Content-Length: {length}\r\n");
    }
    text + "\r\n"
}

/// What a client got.
fn outcome(answer: &Option<Message>) -> String {
    match answer {
        Some(it) => format!("status {}", it.status()),
        None => "the connection ended without a complete answer".to_owned(),
    }
}

fn exit(record: &Record, path: &str, verdict: &str, code: i32) -> ! {
    let mut lines = record.lines.lock().unwrap().clone();
    lines.sort_by_key(|(at, _)| *at);
    let mut text: String = lines.iter().map(|(at, line)| format!("{:>7} ms  {line}\n", at)).collect();
    let _ = writeln!(text, "verdict: {verdict}");
    let _ = std::fs::write(path, text);
    println!("{verdict}");
    std::process::exit(code)
}

// ---------------------------------------------------------------- cases

const ZONES: &str = "{\"dub-a\":\"dublin\",\"dub-b\":\"dublin\",\"cork-a\":\"cork\",\"cork-b\":\"cork\",\"gal-a\":\"galway\",\"gal-b\":\"galway\"}";
const KEY: &str = "s989anu6wsjnbanfqasn";

fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout: u64, target: u64) -> String {
    format!(
        "\"{name}\":{{\"hostname\":\"survey.example\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\
         \"targetLatencyMs\":{target},\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\"authExempt\":false,\
         \"sessionAffinity\":false,\"homeRegions\":[]}}"
    )
}

/// Configuration with the routes and services of surveyline-lb; the figures of the limits are those of its pages.
fn config(version: u64, rate: u64, burst: u64) -> String {
    let service = "{\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":15.0}";
    format!(
        "{{\"version\":{version},\"routes\":{{{},{},{}}},\"services\":{{\"condition-svc\":{service},\"booking-svc\":{service},\"reports-svc\":{service}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":{{\"acme\":{{\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":{rate},\"burst\":{burst},\"homeRegions\":[]}}}}}}",
        route("r-condition", "/condition/", "idempotent", "condition-svc", 15_000, 2_000),
        route("r-booking", "/booking/", "non_idempotent", "booking-svc", 5_000, 600),
        route("r-reports", "/reports/", "idempotent", "reports-svc", 4_000, 500),
    )
}

/// SIGTERM while clients with slow heads have connections on which no request has begun.
fn case_term(record: Arc<Record>, path: &str, trouble: bool) {
    let mut bed = Bed::start("term");
    bed.store.put("op/config", &config(7, 0, 0));
    let mut workers = Vec::new();
    for zone in ["dub-a", "cork-a", "gal-a"] {
        for (service, short) in [("condition-svc", "c"), ("booking-svc", "b")] {
            let id = format!("i-{short}-{zone}");
            workers.push(Worker::start(&record, &bed.store, &id, service, zone, 6, true));
        }
    }
    bed.add_hosts(&[("dublin", "dub-a"), ("cork", "cork-a"), ("galway", "gal-a")], ZONES, 6, 260);
    if !bed.wait_ready() {
        drop(bed);
        exit(&record, path, "the hosts are not ready", 2);
    }
    sleep(ms(1_500));
    let caller = bed.hosts[0].caller;
    let mut clients = Vec::new();
    // Reads that are being worked at when the signal comes, and that are answered 3.0 s after it.
    for n in 0..3 {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("read-{n}");
            let mut stream = TcpStream::connect(caller).unwrap();
            record.add(format!("client sends {id} (GET, work 3200 ms, deadline 15000 ms)"));
            let _ = stream.write_all(head("GET", "/condition/3200", &id, KEY, 15_000, 0).as_bytes());
            let answer = read_message(&mut BufReader::new(stream));
            record.add(format!("client of {id}: {}", outcome(&answer)));
            (id, answer.map(|it| it.status()), 0)
        }));
    }
    sleep(ms(200));
    let term = record.now();
    if trouble {
        record.add(format!("SIGTERM to {}", bed.hosts[0].name));
        bed.hosts[0].terminate();
    }
    // Clients that still know the host's address; their heads take 1.7 to 2.4 s, the limit is 3 s.
    for n in 0..5u64 {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            sleep(ms(400));
            let id = format!("booking-{n}");
            let Ok(mut stream) = TcpStream::connect(caller) else { return (id, None, 0) };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(ms(7_000)));
            let text = head("POST", "/booking/1040", &id, KEY, 5_000, 2) + "{}";
            record.add(format!("client of {id} connects and sends the first part of its head"));
            let (first, rest) = text.split_at(40);
            let _ = stream.write_all(first.as_bytes());
            sleep(ms(1_700 + 170 * n));
            let is_sent = stream.write_all(rest.as_bytes()).is_ok();
            let sent = record.now();
            record.add(format!("client of {id} sends the rest (work 1040 ms, deadline 5000 ms): {is_sent}"));
            let answer = read_message(&mut BufReader::new(stream));
            record.add(format!("client of {id}: {}", outcome(&answer)));
            (id, answer.map(|it| it.status()), sent)
        }));
    }
    let results: Vec<_> = clients.into_iter().map(|it| it.join().unwrap()).collect();
    let until = Instant::now() + ms(7_000);
    while trouble && !bed.hosts[0].has_ended() && Instant::now() < until {
        sleep(ms(20));
    }
    let has_ended = bed.hosts[0].has_ended();
    record.add(format!("the process has ended: {has_ended}"));
    sleep(ms(1_300));
    // LOST: passed on to a worker, and the connection ends without a complete answer, between the signal and 1 s after
    // `graceS`; not counted: at work in the last sixth of `graceS`, and past the deadline.
    let mut lost = 0;
    for (id, status, sent) in &results {
        let runs: Vec<Run> =
            workers.iter().flat_map(|it| it.runs.lock().unwrap().clone()).filter(|it| it.id == *id).collect();
        let is_at_work_late = runs.iter().any(|it| it.ended.is_none_or(|end| end >= term + 5_000));
        if status.is_none() && !runs.is_empty() && !is_at_work_late {
            lost += 1;
            record.add(format!("{id}: sent {} ms after the signal, run by a worker, no answer", sent.saturating_sub(term)));
        }
    }
    let served = results.iter().filter(|(_, status, _)| *status == Some(200)).count();
    let verdict = format!("LOST: {lost} of {} requests were passed on and not answered; {served} served", results.len());
    drop(bed);
    exit(&record, path, &verdict, i32::from(lost > 0))
}

/// The store turns the hosts of one region away, and their processes are killed and start again meanwhile, while one
/// tenant presses.
fn case_quota(record: Arc<Record>, path: &str, trouble: bool) {
    let (rate, burst) = (190u64, 190u64);
    let mut bed = Bed::start("quota");
    bed.store.put("op/config", &config(7, rate, burst));
    let zones = ["dub-a", "cork-a", "gal-a", "dub-b", "cork-b", "gal-b"];
    let mut workers = Vec::new();
    for n in 0..12 {
        let id = format!("i-r-{n}");
        workers.push(Worker::start(&record, &bed.store, &id, "reports-svc", zones[n % 6], 20, false));
    }
    let places: Vec<(&str, &str)> =
        (0..12).map(|n| (["dublin", "cork", "galway"][n % 3], zones[n % 6])).collect();
    bed.add_hosts(&places, ZONES, 6, 260);
    if !bed.wait_ready() {
        drop(bed);
        exit(&record, path, "the hosts are not ready", 2);
    }
    sleep(ms(1_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_pressing = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let statuses: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let counter = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for host in &bed.hosts {
        for n in 0..6u64 {
            let (record, caller) = (record.clone(), host.caller);
            let (is_over, is_pressing) = (is_over.clone(), is_pressing.clone());
            let (sent, statuses, counter) = (sent.clone(), statuses.clone(), counter.clone());
            clients.push(thread::spawn(move || {
                sleep(ms(101 * n));
                let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
                while !is_over.load(Ordering::Relaxed) {
                    let begun = Instant::now();
                    if connection.is_none() {
                        connection = TcpStream::connect(caller).ok().map(|stream| {
                            let _ = stream.set_nodelay(true);
                            let _ = stream.set_read_timeout(Some(ms(4_000)));
                            let reader = BufReader::new(stream.try_clone().unwrap());
                            (stream, reader)
                        });
                    }
                    let mut how = "no connection".to_owned();
                    if let Some((stream, reader)) = &mut connection {
                        let id = format!("{:016x}", counter.fetch_add(1, Ordering::Relaxed));
                        sent.lock().unwrap().insert(id.clone(), record.now());
                        let text = head("GET", "/reports/10", &id, KEY, 4_000, 0);
                        let answer =
                            if stream.write_all(text.as_bytes()).is_ok() { read_message(reader) } else { None };
                        how = outcome(&answer);
                        if answer.is_none_or(|it| it.header("connection").eq_ignore_ascii_case("close")) {
                            connection = None;
                        }
                    }
                    *statuses.lock().unwrap().entry(how).or_default() += 1;
                    // Usually the limit by 1.6, in all; 9.2 times as much while the tenant presses.
                    while begun.elapsed() < ms(if is_pressing.load(Ordering::Relaxed) { 66 } else { 606 })
                        && !is_over.load(Ordering::Relaxed)
                    {
                        sleep(ms(3));
                    }
                }
            }));
        }
    }
    record.add("a tenant sends its usual: 12 x 6 clients, about 119 requests a second".to_owned());
    sleep(ms(6_000));
    let is_cut = |it: &&mut Host| it.region == "galway";
    let hosts = &mut bed.hosts;
    if trouble {
        record.add("the store turns the hosts of galway away with 503, 4 of 12, for 9 s".to_owned());
        hosts.iter_mut().filter(is_cut).for_each(|it| it.gate.store(true, Ordering::Relaxed));
    }
    sleep(ms(3_900));
    record.add("the tenant presses for 6.5 s: about 1090 requests a second".to_owned());
    is_pressing.store(true, Ordering::Relaxed);
    sleep(ms(300));
    if trouble {
        let count = bed.store.count("sapphireknot/host/");
        record.add(format!("the processes of galway are killed and start again; {count} registrations in the store"));
        for host in hosts.iter_mut().filter(is_cut) {
            host.kill();
            host.spawn();
        }
    }
    sleep(ms(4_800));
    if trouble {
        record.add("the store serves the hosts of galway again".to_owned());
        hosts.iter_mut().filter(is_cut).for_each(|it| it.gate.store(false, Ordering::Relaxed));
    }
    sleep(ms(1_400));
    is_pressing.store(false, Ordering::Relaxed);
    record.add("the tenant sends its usual again".to_owned());
    sleep(ms(2_600));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    sleep(ms(300));
    let sent = sent.lock().unwrap();
    let mut runs: Vec<(u64, u64)> = workers
        .iter()
        .flat_map(|it| it.runs.lock().unwrap().clone())
        .filter(|it| it.tenant == "acme")
        .filter_map(|it| Some((*sent.get(&it.id)?, it.at)))
        .collect();
    runs.sort_unstable();
    let mut most = (0, 0);
    for (idx, (start, _)) in runs.iter().enumerate() {
        let count = runs[idx..].iter().take_while(|(at, _)| *at < start + 5_000).filter(|(_, at)| *at < start + 5_000).count();
        most = most.max((count, *start));
    }
    for second in 0..=record.now() / 500 {
        let count = runs.iter().filter(|(_, at)| at / 500 == second).count();
        record.lines.lock().unwrap().push((second * 500, format!("run in the next 500 ms: {count}")));
    }
    record.add(format!("how requests ended: {:?}", statuses.lock().unwrap()));
    let bound = ((rate * 5 + burst) as f64 * 1.1 + 20.0) as usize;
    let verdict = format!("QUOTA: {} run in the 5 s from {} ms on, the bound is {bound}", most.0, most.1);
    drop(bed);
    exit(&record, path, &verdict, i32::from(most.0 > bound))
}

/// Changes of a large configuration, one after the other; the platform kills a process over its memory limit.
fn case_memory(record: Arc<Record>, path: &str, trouble: bool) {
    let number = |name: &str, other: u64| std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(other);
    let (routes, gap, limit) = (number("ROUTES", 1_400), number("GAP_MS", 60), number("LIMIT_MB", 160));
    let mut bed = Bed::start("memory");
    let large = |version: u64| {
        let more: Vec<String> = (0..routes)
            .map(|n| route(&format!("r-more-{n}"), &format!("/more{n}/x{}/", version % 7), "idempotent", "reports-svc", 4_000, 500))
            .collect();
        config(version, 0, 0).replacen("\"routes\":{", &format!("\"routes\":{{{},", more.join(",")), 1)
    };
    bed.store.put("op/config", &large(7));
    record.add(format!("configuration with {routes} routes more, {} bytes", large(7).len()));
    let worker = Worker::start(&record, &bed.store, "i-r-0", "reports-svc", "dub-a", 6, false);
    bed.add_hosts(&[("dublin", "dub-a"), ("cork", "cork-a"), ("galway", "gal-a")], ZONES, 6, limit as u32);
    if !bed.wait_ready() {
        drop(bed);
        exit(&record, path, "the hosts are not ready", 2);
    }
    let mut kills = vec![0; bed.hosts.len()];
    let end = Instant::now() + ms(90_000);
    let (mut version, mut told) = (7, Instant::now());
    while Instant::now() < end {
        if trouble {
            version += 1;
            bed.store.put("op/config", &large(version));
        }
        sleep(ms(gap));
        for (idx, host) in bed.hosts.iter_mut().enumerate() {
            let memory = host.memory_mb();
            if memory > limit {
                record.add(format!("{} has {memory} MB of {limit} after version {version}: the platform kills and restarts it", host.name));
                host.kill();
                host.spawn();
                kills[idx] += 1;
            }
        }
        if told.elapsed() > ms(3_000) {
            told = Instant::now();
            let memory: Vec<u64> = bed.hosts.iter().map(Host::memory_mb).collect();
            record.add(format!("version {version}; memory of the hosts in MB: {memory:?}"));
        }
    }
    drop(worker);
    // Fault: on a tenth of the machines (two at least) processes end by themselves three times.
    let machines = kills.iter().filter(|it| **it >= 3).count();
    let verdict = format!("Fault: ends of each process by memory over its limit: {kills:?}; {version} is the last version");
    drop(bed);
    exit(&record, path, &verdict, i32::from(machines >= 2))
}

/// Slots of that worker.
const SLOTS: usize = 6;

/// A worker that goes down, starts again at its address under another id, and repeats some of its answers.
struct Restarting {
    id: Mutex<String>,
    /// End of the time in which it is cold, and takes twice as long.
    cold_until: Mutex<Instant>,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    /// Requests that run and that wait for a slot.
    load: Mutex<(usize, usize)>,
    slot_freed: Condvar,
    answers: AtomicU64,
    repeated: AtomicU64,
    runs: Mutex<Vec<(String, u64)>>,
    /// Whether it repeats answers.
    is_faulty: bool,
}

impl Restarting {
    /// Serves until the worker crashes, which closes the listener and all connections.
    fn listen(self: Arc<Self>, listener: TcpListener, record: Arc<Record>) {
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !self.is_down.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_micros(300));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                self.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (worker, record) = (self.clone(), record.clone());
                thread::spawn(move || worker.serve(stream, &record));
            }
            drop(listener);
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
    }
    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        // A further copy of an answer, which arrives late: at the point where the next answer is expected.
        let mut extra: Option<String> = None;
        while let Some(request) = read_message(&mut reader) {
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            let rid = request.header("x-request-id").to_owned();
            let own = self.id.lock().unwrap().clone();
            if let Some(copy) = extra.take() {
                let _ = stream.write_all(copy.as_bytes());
                record.add(format!("worker {own}: the copy arrives when {rid} is waiting"));
            }
            let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if request.header("x-target-instance") != own {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {rid}\r\nX-Instance-Id: {own}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                record.add(format!("worker {own}: 421 for {rid}, which names {}", request.header("x-target-instance")));
                // At most three of a hundred answers are repeated.
                if self.is_faulty && (self.repeated.load(Ordering::Relaxed) + 1) * 100 <= answers * 3 {
                    self.repeated.fetch_add(1, Ordering::Relaxed);
                    extra = Some(text.clone());
                }
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let mut load = self.load.lock().unwrap();
            if load.0 >= SLOTS && load.1 >= 3 * SLOTS {
                drop(load);
                let full = format!("X-Request-Id: {rid}\r\nX-Not-Executed: 1\r\n");
                if !reply(&mut stream, 503, &full, "") {
                    return;
                }
                continue;
            }
            load.1 += 1;
            load = self.slot_freed.wait_while(load, |it| it.0 >= SLOTS).unwrap();
            *load = (load.0 + 1, load.1 - 1);
            drop(load);
            let is_down = self.is_down.load(Ordering::Relaxed);
            if !is_down {
                self.runs.lock().unwrap().push((rid.clone(), record.now()));
                let work = target.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(10);
                let is_cold = Instant::now() < *self.cold_until.lock().unwrap();
                sleep(ms(if is_cold { 2 * work } else { work }));
            }
            let mut load = self.load.lock().unwrap();
            load.0 -= 1;
            let told = *load;
            drop(load);
            self.slot_freed.notify_one();
            if is_down || self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let signed = format!(
                "X-Request-Id: {rid}\r\nX-Response-Signature: {own}.{rid}\r\nX-Server-Load: {},{},{SLOTS}\r\n",
                told.0, told.1
            );
            if !reply(&mut stream, 200, &signed, &format!("{{\"done\":\"{rid}\"}}")) {
                return;
            }
        }
    }
}

/// A zone's worker goes down and comes back cold at its address under a new id, several times; it repeats some of its
/// answers late.
fn case_repeat(record: Arc<Record>, path: &str, trouble: bool) {
    let only = std::env::var("ONLY").unwrap_or_default();
    let number = |name: &str, other: u64| std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(other);
    let (rounds, down, hosts, each) = (number("ROUNDS", 4), number("DOWN_MS", 500), number("HOSTS", 4), number("EACH", 8));
    let (work, objects) = (number("WORK_MS", 60), number("OBJECTS", 40));
    let mut bed = Bed::start("repeat");
    bed.store.put("op/config", &config(7, 0, 0).replace("\"sessionAffinity\":false", "\"sessionAffinity\":true"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let worker = Arc::new(Restarting {
        id: Mutex::new("i-b-0".into()),
        cold_until: Mutex::new(Instant::now()),
        is_down: AtomicBool::new(false),
        streams: Mutex::default(),
        load: Mutex::default(),
        slot_freed: Condvar::new(),
        answers: AtomicU64::new(0),
        repeated: AtomicU64::new(0),
        runs: Mutex::default(),
        is_faulty: trouble && only != "crash",
    });
    let entry = |born: u64, warmup_left: u64| {
        format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"booking-svc\",\"version\":\"v1\",\"zone\":\"dub-a\",\"slots\":6}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":4,\"warmupLeftMs\":{warmup_left}}}}}"
        )
    };
    bed.store.put("servers/i-b-0", &entry(1_796_000_000_000, 0));
    worker.clone().listen(listener, record.clone());
    let others: Vec<Worker> = ["dub-b"]
        .iter()
        .enumerate()
        .map(|(n, zone)| Worker::start(&record, &bed.store, &format!("i-b-sound-{n}"), "booking-svc", zone, 6, false))
        .collect();
    let places: Vec<(&str, &str)> = (0..hosts as usize).map(|n| ("dublin", ["dub-a", "dub-b"][n % 2])).collect();
    bed.add_hosts(&places, ZONES, 6, 260);
    if !bed.wait_ready() {
        drop(bed);
        exit(&record, path, "the hosts are not ready", 2);
    }
    sleep(ms(1_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let counter = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for host in &bed.hosts {
        for n in 0..each {
            let (caller, is_over, answers, counter, record) =
                (host.caller, is_over.clone(), answers.clone(), counter.clone(), record.clone());
            clients.push(thread::spawn(move || {
                sleep(ms(200 * n / each));
                while !is_over.load(Ordering::Relaxed) {
                    let begun = Instant::now();
                    let id = format!("b{:06}", counter.fetch_add(1, Ordering::Relaxed));
                    if let Ok(mut stream) = TcpStream::connect(caller) {
                        let _ = stream.set_read_timeout(Some(ms(6_000)));
                        let object = counter.load(Ordering::Relaxed) * 7919 % objects;
                        let text = head("POST", &format!("/booking/{work}"), &id, KEY, 5_000, 2).replacen("X-Request-Id", &format!("Cookie: X-Affinity-Key={object}\r\nX-Request-Id"), 1) + "{}";
                        let _ = stream.write_all(text.as_bytes());
                        let answer = read_message(&mut BufReader::new(stream));
                        let status = answer.as_ref().map_or(0, |it| it.status());
                        if status != 200 {
                            record.add(format!("client of {id}: {}", outcome(&answer)));
                        }
                        answers.lock().unwrap().insert(id, status);
                    }
                    sleep(ms(200).saturating_sub(begun.elapsed()));
                }
            }));
        }
    }
    sleep(ms(4_000));
    for round in 1..=rounds {
        let begun = Instant::now();
        if trouble && only != "extra" {
            let (old, new) = (format!("i-b-{}", round - 1), format!("i-b-{round}"));
            record.add(format!("worker {old} goes down; its entry stays for three heartbeats"));
            worker.is_down.store(true, Ordering::Relaxed);
            sleep(ms(down));
            let Ok(listener) = TcpListener::bind(address) else {
                drop(bed);
                exit(&record, path, "the address is taken", 2)
            };
            *worker.id.lock().unwrap() = new.clone();
            *worker.cold_until.lock().unwrap() = Instant::now() + ms(3_000);
            worker.is_down.store(false, Ordering::Relaxed);
            worker.clone().listen(listener, record.clone());
            let (key, born) = (format!("servers/{new}"), 1_796_000_000_000 + round * 10_000);
            bed.store.put(&key, &entry(born, 3_000));
            record.add(format!("it is back at its address as {new}, cold for 3 s"));
            sleep(ms(1_500));
            bed.store.put(&key, &entry(born, 1_500));
            sleep(ms(1_500));
            bed.store.put(&key, &entry(born, 0));
            sleep(ms(4_400).saturating_sub(begun.elapsed()));
            bed.store.state.0.lock().unwrap().remove(&format!("servers/{old}"));
            bed.store.state.1.notify_all();
            record.add(format!("the entry of {old} is removed"));
        }
        sleep(ms(7_400).saturating_sub(begun.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));
    sleep(ms(300));
    let mut ran: HashMap<String, u32> = HashMap::new();
    for (id, _) in worker.runs.lock().unwrap().iter() {
        *ran.entry(id.clone()).or_default() += 1;
    }
    for run in others.iter().flat_map(|it| it.runs.lock().unwrap().clone()) {
        *ran.entry(run.id.clone()).or_default() += 1;
    }
    let (mut refused, mut twice) = (0, 0);
    for (id, status) in answers.lock().unwrap().iter() {
        let runs = ran.get(id).copied().unwrap_or(0);
        if [408, 421, 429, 503].contains(status) && runs > 0 {
            refused += 1;
            record.add(format!("{id} was answered {status} and has run"));
        }
        twice += u32::from(runs > 1);
    }
    let (all, repeated) = (worker.answers.load(Ordering::Relaxed), worker.repeated.load(Ordering::Relaxed));
    let verdict = format!(
        "REFUSED: {refused} of {} bookings were answered as not run and had run; TWICE: {twice}; the worker repeated {repeated} of {all} answers",
        answers.lock().unwrap().len()
    );
    drop(bed);
    exit(&record, path, &verdict, i32::from(refused + twice > 0))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2)
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    if !std::path::Path::new("target/release/sapphireknotd").exists() {
        eprintln!("target/release/sapphireknotd is missing: run the build of the deploy file");
        std::process::exit(2)
    }
    let record = Arc::new(Record { started: Instant::now(), lines: Mutex::default() });
    match case.as_str() {
        "term" => case_term(record, path, trouble),
        "repeat" => case_repeat(record, path, trouble),
        "memory" => case_memory(record, path, trouble),
        "quota" => case_quota(record, path, trouble),
        _ => std::process::exit(2),
    }
}
