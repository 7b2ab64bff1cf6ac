//! The platform's store: objects by kind and name, lists and watches, as PROTOCOL.md says.

use crate::http::{Message, Peer, encode};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    text: String,
    removed: bool,
}

struct Contents {
    revision: u64,
    /// Revision up to which the history is gone.
    floor: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    history: Duration,
}

/// The way of one machine to the store.
pub struct Link {
    pub address: SocketAddr,
    /// Whether the store turns the machine away with 503.
    pub rejects: Arc<AtomicBool>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_revision\":{},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

/// Returns the text of a member of a JSON object that this project's gateway writes; good for these bodies only.
fn member(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &text[at..];
    let (mut depth, mut quoted) = (0, false);
    for (index, byte) in rest.bytes().enumerate() {
        match byte {
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => depth += 1,
            b',' if !quoted && depth == 0 => return Some(rest[..index].to_owned()),
            b'}' | b']' if !quoted && depth == 0 => return Some(rest[..index].to_owned()),
            b'}' | b']' if !quoted => depth -= 1,
            _ => {}
        }
    }
    None
}

impl Store {
    pub fn new(history_s: u64) -> Arc<Self> {
        Arc::new(Self {
            contents: Mutex::new(Contents {
                revision: 500,
                floor: 0,
                objects: BTreeMap::new(),
                changes: Vec::new(),
            }),
            changed: Condvar::new(),
            history: Duration::from_secs(history_s),
        })
    }

    /// Writes an object, as the operator or a runner does; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = contents.objects.get(&key).map_or(revision, |o| o.created);
        let object = Object {
            revision,
            created,
            spec: spec.to_owned(),
        };
        let text = object_text(name, &object);
        contents.objects.insert(key, object);
        contents.log(kind, text, false);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut contents = self.contents.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = contents.objects.remove(&key) else {
            return false;
        };
        contents.revision += 1;
        contents.log(kind, object_text(name, &object), true);
        self.changed.notify_all();
        true
    }

    /// Opens a way to the store for one machine.
    pub fn link(self: &Arc<Self>) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let address = listener.local_addr().expect("store");
        let rejects = Arc::new(AtomicBool::new(false));
        let (store, flag) = (Arc::clone(self), Arc::clone(&rejects));
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (store, flag) = (Arc::clone(&store), Arc::clone(&flag));
                thread::spawn(move || {
                    let mut peer = Peer::new(socket);
                    while let Ok(Some(request)) = peer.message() {
                        let (status, body) = store.answer(&request, &flag);
                        let line = format!("HTTP/1.1 {status} Status");
                        let headers = [("Content-Type", "application/json")];
                        if peer
                            .send(&encode(&line, &headers, body.as_bytes()))
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Link { address, rejects }
    }

    fn answer(&self, request: &Message, rejects: &AtomicBool) -> (u16, String) {
        if rejects.load(Ordering::SeqCst) {
            return (503, "{}".into());
        }
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == key)
                .map(|(_, value)| value.to_owned())
        };
        let number = |key: &str| parameter(key).and_then(|text| text.parse::<u64>().ok());
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), name) {
            ("GET", None) => match number("watch") {
                Some(since) => {
                    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                    self.watch(&kind, since, wait, rejects)
                }
                None => self.list(&kind),
            },
            ("POST", None) => {
                let name = member(&body, "name").unwrap_or_default();
                let name = name.trim_matches('"').to_owned();
                let key = (kind.clone(), name.clone());
                if self.contents.lock().unwrap().objects.contains_key(&key) {
                    return (409, "{}".into());
                }
                self.put(&kind, &name, &member(&body, "spec").unwrap_or("{}".into()));
                (201, "{}".into())
            }
            ("PUT", Some(name)) => {
                self.put(&kind, &name, &member(&body, "spec").unwrap_or("{}".into()));
                (200, "{}".into())
            }
            ("DELETE", Some(name)) => (
                if self.remove(&kind, &name) { 200 } else { 404 },
                "{}".into(),
            ),
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let contents = self.contents.lock().unwrap();
        let items = contents.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = items.map(|((_, name), o)| object_text(name, o)).collect();
        let revision = contents.revision;
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration, rejects: &AtomicBool) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            contents.forget(self.history);
            if rejects.load(Ordering::SeqCst) {
                return (503, "{}".into());
            }
            if since < contents.floor {
                return (410, "{}".into());
            }
            let new = contents.changes.iter();
            let new = new.filter(|change| change.kind == kind && change.revision > since);
            let event = |change: &Change| {
                format!(
                    "{{\"removed\":{},\"object\":{}}}",
                    change.removed, change.text
                )
            };
            let events: Vec<String> = new.map(event).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, revision) = (events.join(","), contents.revision);
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return (200, body);
            }
            let rest = (end - now).min(Duration::from_millis(100));
            contents = self.changed.wait_timeout(contents, rest).unwrap().0;
        }
    }
}

impl Contents {
    fn log(&mut self, kind: &str, text: String, removed: bool) {
        self.changes.push(Change {
            revision: self.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            text,
            removed,
        });
    }

    fn forget(&mut self, history: Duration) {
        let old = self
            .changes
            .iter()
            .take_while(|change| change.at.elapsed() > history);
        let count = old.count();
        if count > 0 {
            self.floor = self.changes[count - 1].revision;
            self.changes.drain(..count);
        }
    }
}
