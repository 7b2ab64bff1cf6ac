//! Stand-in of the platform's store, after PROTOCOL.md.

use crate::http::{Request, read_request, respond};
use crate::json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    spec: String,
    revision: u64,
    created: u64,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Each change: its revision, the kind, the text of the object and whether it was removed.
    changes: Vec<(u64, String, String, bool)>,
    /// Counts the times at which waiting watches were cut off.
    cuts: u64,
}

/// Holds objects by kind and name; linearizable, and it loses nothing.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            revision: 500,
            objects: BTreeMap::new(),
            changes: Vec::new(),
            cuts: 0,
        };
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(socket));
            }
        });
        store
    }

    /// Writes an object, as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.0.lock().unwrap().put(kind, name, spec);
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().remove(kind, name);
        self.state.1.notify_all();
    }

    /// Cuts off the watches that are waiting: their connections are closed, in order, without a response.
    pub fn cut_watches(&self) {
        self.state.0.lock().unwrap().cuts += 1;
        self.state.1.notify_all();
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        while let Some(request) = read_request(&mut socket) {
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            let headers = [("Content-Type", "application/json")];
            if respond(&mut socket, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body; `None` if the call is cut off.
    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let target = request.target.as_str();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|pair| pair.split_once('='));
            fields.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let body = request.text();
        match (request.method.as_str(), name) {
            ("GET", None) if field("watch").is_some() => {
                let since = field("watch")?.parse().ok()?;
                let wait = field("wait_ms").unwrap_or("0").parse().ok()?;
                Some((200, self.watch(kind, since, Duration::from_millis(wait))?))
            }
            ("GET", None) => Some((200, self.list(kind, field("after").unwrap_or_default()))),
            ("POST", None) => {
                let metadata = json::member(&body, "metadata")?;
                let name = json::string(metadata, "name")?;
                let spec = json::member(&body, "spec")?;
                let mut state = self.state.0.lock().unwrap();
                let key = (kind.to_owned(), name.clone());
                if let Some(held) = state.objects.get(&key) {
                    return Some((409, object_text(&name, held)));
                }
                state.put(kind, &name, spec);
                self.state.1.notify_all();
                Some((200, object_text(&name, &state.objects[&key])))
            }
            ("PUT", Some(name)) => {
                let spec = json::member(&body, "spec")?;
                let mut state = self.state.0.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                if !state.objects.contains_key(&key) {
                    return Some((404, "{}".into()));
                }
                state.put(kind, name, spec);
                self.state.1.notify_all();
                Some((200, object_text(name, &state.objects[&key])))
            }
            ("DELETE", Some(name)) => {
                let removed = self.state.0.lock().unwrap().remove(kind, name);
                self.state.1.notify_all();
                Some((if removed { 200 } else { 404 }, "{}".into()))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter();
        let items = items.filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<String> = items
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<String> {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        let cuts = state.cuts;
        loop {
            let changes = state.changes.iter();
            let changes = changes.filter(|(at, of, _, _)| *at > since && of == kind);
            let events: Vec<String> = changes
                .map(|(_, _, object, removed)| {
                    format!("{{\"removed\":{removed},\"object\":{object}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if events
                .iter()
                .any(|event| event.starts_with("{\"removed\":true"))
            {
                self.record.line("the store answers a watch with a removal");
            }
            if !events.is_empty() || left.is_zero() {
                return Some(format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                ));
            }
            if state.cuts != cuts {
                return None;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let held = self.objects.get(&key);
        if held.is_some_and(|held| held.spec == spec) {
            return;
        }
        self.revision += 1;
        let object = Object {
            spec: spec.to_owned(),
            revision: self.revision,
            created: held.map_or(self.revision, |held| held.created),
        };
        let text = object_text(name, &object);
        self.changes
            .push((self.revision, kind.to_owned(), text, false));
        self.objects.insert(key, object);
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let text = object_text(name, &object);
        self.changes
            .push((self.revision, kind.to_owned(), text, true));
        true
    }
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_revision\":{},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}
