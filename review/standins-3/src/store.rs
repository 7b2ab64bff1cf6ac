//! The platform's store: objects by kind and name, lists and watches.

use crate::http::{Message, Reader, send};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    spec: String,
    created: u64,
    revision: u64,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"create_revision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.name, self.revision, self.created, self.spec
        )
    }
}

struct Event {
    revision: u64,
    object: Object,
    removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    events: Vec<Event>,
}

/// A store; the operator and the runners write to it by its methods.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || {
                    let _ = served.serve(socket);
                });
            }
        });
        store
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.0.lock().expect("usable");
        change(&mut state);
        drop(state);
        self.state.1.notify_all();
    }

    /// Writes an object; when this returns, the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(|state| state.put(kind, name, spec));
    }

    /// Removes an object; when this returns, the store has acknowledged it.
    pub fn remove(&self, kind: &str, name: &str) {
        self.change(|state| state.remove(kind, name));
    }

    fn serve(&self, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut writer = socket.try_clone()?;
        let mut reader = Reader::new(socket);
        while let Some(request) = reader.message()? {
            let (status, body) = self.answer(&request);
            // An answer of the store takes 4 ms.
            crate::pause(4);
            let first = format!("HTTP/1.1 {status} X");
            send(
                &mut writer,
                &first,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return (404, "{}".into());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        match request.method() {
            "GET" if name.is_empty() => match parameter("watch").and_then(|text| text.parse().ok())
            {
                Some(since) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                    (
                        200,
                        self.watch(kind, since, Duration::from_millis(wait.unwrap_or(0))),
                    )
                }
                None => (200, self.list(kind)),
            },
            "GET" => {
                let state = self.state.0.lock().expect("usable");
                match state.find(kind, name) {
                    Some(object) => (200, object.json()),
                    None => (404, "{}".into()),
                }
            }
            "POST" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let name = text_of(&body, "name").unwrap_or_default();
                let mut state = self.state.0.lock().expect("usable");
                if let Some(object) = state.find(kind, &name) {
                    return (409, object.json());
                }
                state.put(kind, &name, &spec_of(&body));
                let json = state.find(kind, &name).map(Object::json);
                drop(state);
                self.state.1.notify_all();
                (200, json.unwrap_or_default())
            }
            "PUT" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let mut state = self.state.0.lock().expect("usable");
                if state.find(kind, name).is_none() {
                    return (404, "{}".into());
                }
                state.put(kind, name, &spec_of(&body));
                let json = state.find(kind, name).map(Object::json);
                drop(state);
                self.state.1.notify_all();
                (200, json.unwrap_or_default())
            }
            "DELETE" => {
                self.remove(kind, name);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().expect("usable");
        let mut items: Vec<&Object> = state.objects.iter().filter(|o| o.kind == kind).collect();
        items.sort_by(|a, b| a.name.cmp(&b.name));
        let items: Vec<String> = items.into_iter().map(Object::json).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("usable");
        loop {
            let events = state
                .events
                .iter()
                .filter(|e| e.revision > since && e.object.kind == kind);
            let events: Vec<String> = events
                .map(|e| {
                    format!(
                        "{{\"removed\":{},\"object\":{}}}",
                        e.removed,
                        e.object.json()
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("usable").0;
        }
    }
}

impl State {
    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects
            .iter()
            .find(|o| (o.kind.as_str(), o.name.as_str()) == (kind, name))
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        if self
            .find(kind, name)
            .is_some_and(|object| object.spec == spec)
        {
            return;
        }
        self.revision += 1;
        let created = self
            .find(kind, name)
            .map_or(self.revision, |object| object.created);
        let object = Object {
            kind: kind.into(),
            name: name.into(),
            spec: spec.into(),
            created,
            revision: self.revision,
        };
        self.objects
            .retain(|o| (o.kind.as_str(), o.name.as_str()) != (kind, name));
        self.objects.push(object.clone());
        self.events.push(Event {
            revision: self.revision,
            object,
            removed: false,
        });
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.find(kind, name).cloned() else {
            return;
        };
        self.revision += 1;
        self.objects
            .retain(|o| (o.kind.as_str(), o.name.as_str()) != (kind, name));
        let object = Object {
            revision: self.revision,
            ..object
        };
        self.events.push(Event {
            revision: self.revision,
            object,
            removed: true,
        });
    }
}

/// Returns the first text of this name.
fn text_of(json: &str, name: &str) -> Option<String> {
    let rest = &json[json.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let rest = rest.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

/// Returns the object of the name `spec`.
fn spec_of(json: &str) -> String {
    let Some(at) = json.find("\"spec\":") else {
        return "{}".into();
    };
    let (text, mut depth, mut quoted) = (&json[at + 7..], 0, false);
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => {
                depth -= 1;
                if depth == 0 {
                    return text[..=index].to_owned();
                }
            }
            _ => {}
        }
    }
    "{}".into()
}
