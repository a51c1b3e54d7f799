//! Running one attempt: waiting for a slot, prefill, decode.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::{Mutex as FairMutex, Semaphore, mpsc},
    time::sleep,
};

use crate::engine::{
    cache::{self, Cache},
    http::{Faults, Interface},
    tokens::token,
};

const CRASH_MARKER: &str = "CRASH-THE-ENGINE";

/// The speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub prefill_tokens_per_s: f64,
    pub decode_ms: u64,
    pub slots: usize,
    pub cache_blocks_max: usize,
    /// Tokens whose KV cache can be exported in a second.
    pub kv_tokens_per_s: f64,
    /// Orders with an old fencing number, or after their time, are refused.
    pub checks_fencing: bool,
}

/// What a caller of the engine asks for.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CompletionRequest {
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default = "default_max_tokens")]
    max_tokens: usize,
    #[serde(default)]
    attempt: Option<String>,
    /// Tokens of the answer that were computed elsewhere.
    #[serde(default)]
    resume_tokens: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

fn default_max_tokens() -> usize {
    16
}

/// What the engine did for one attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub attempt: Option<String>,
    pub request_id: Option<String>,
    pub prompt_tokens: usize,
    pub cached_tokens: usize,
    pub resumed_at: usize,
}

/// An order, and whether the engine followed it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    pub version: String,
    pub fencing: u64,
    /// In the engine's clock.
    pub not_after_ms: u64,
    #[serde(default)]
    pub is_followed: bool,
}

/// The engine's state.
pub(crate) struct Engine {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    pub(crate) orders: Mutex<Vec<Order>>,
    pub(crate) started: Instant,
    cache: Mutex<Cache>,
    /// The text of each attempt in progress, the prompt included.
    contexts: Mutex<FxHashMap<String, String>>,
    slots: Semaphore,
    prefill: FairMutex<()>,
    in_progress: Mutex<(usize, usize)>,
}

impl Engine {
    pub(crate) fn new(settings: Settings, incarnation: u64) -> Self {
        Self {
            settings,
            incarnation,
            faults: Mutex::default(),
            attempts: Mutex::default(),
            orders: Mutex::default(),
            started: Instant::now(),
            cache: Mutex::new(Cache::new(settings.cache_blocks_max)),
            contexts: Mutex::default(),
            slots: Semaphore::new(settings.slots),
            prefill: FairMutex::new(()),
            in_progress: Mutex::default(),
        }
    }

    /// Requests in progress, and prompt tokens that wait.
    pub(crate) fn load(&self) -> (usize, usize) {
        *self.in_progress.lock()
    }

    /// Takes an order; says whether it is followed.
    pub(crate) fn apply_order(&self, mut order: Order) -> bool {
        let mut orders = self.orders.lock();
        let newest = orders.iter().filter(|it| it.is_followed).map(|it| it.fencing).max();
        let is_old =
            newest.is_some_and(|it| order.fencing < it) || order.not_after_ms < self.now_ms();
        order.is_followed = !(self.settings.checks_fencing && is_old);
        let is_followed = order.is_followed;
        orders.push(order);
        is_followed
    }

    /// The version that is loaded.
    pub(crate) fn version(&self) -> Option<String> {
        self.orders.lock().iter().rev().find(|it| it.is_followed).map(|it| it.version.clone())
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The KV cache of an attempt in progress, after the time that the transfer takes.
    pub(crate) async fn export(&self, attempt: &str) -> Option<Vec<u64>> {
        let context = self.contexts.lock().get(attempt).cloned()?;
        let seconds = context.split_whitespace().count() as f64 / self.settings.kv_tokens_per_s;
        sleep(Duration::from_secs_f64(seconds)).await;
        Some(cache::hashes(&context))
    }

    /// Takes the KV cache of another engine's attempt.
    pub(crate) fn import(&self, blocks: &[u64]) {
        self.cache.lock().insert_hashes(blocks);
    }

    /// Runs an attempt and sends the data of its server-sent events. Stops when the receiver is gone.
    pub(crate) async fn run(
        self: Arc<Self>,
        request: CompletionRequest,
        request_id: Option<String>,
        events: mpsc::Sender<String>,
    ) {
        let prompt = request.prompt();
        let context = prompt.clone() + &request.resume_tokens.concat();
        let n_prompt = context.split_whitespace().count();
        let _in_progress = InProgressGuard::start(&self, n_prompt);
        let name = request.attempt.clone().unwrap_or_default();
        let _context_guard = ContextGuard::start(&self, name.clone(), context.clone());
        let Ok(_slot) = self.slots.acquire().await else { return };
        self.prefill(&request, request_id, &context, n_prompt).await;
        if prompt.contains(CRASH_MARKER) {
            std::process::exit(139);
        }
        let faults = self.faults.lock().clone();
        let request = if faults.interface == Interface::Plain { request.plain() } else { request };
        for position in request.resume_tokens.len()..request.max_tokens {
            sleep(Duration::from_millis(self.settings.decode_ms)).await;
            if let Some(text) = self.contexts.lock().get_mut(&name) {
                text.push_str(&token(&prompt, position));
            }
            if faults.stall_at == Some(position) {
                std::future::pending::<()>().await;
            }
            if faults.cut_at == Some(position) {
                return;
            }
            if faults.twice_at == Some(position)
                && events.send(request.token_event(&prompt, position, 0)).await.is_err()
            {
                return;
            }
            let sent = faults.sent_position(position, request.max_tokens);
            if events.send(request.token_event(&prompt, sent, 0)).await.is_err() {
                return;
            }
            if faults.stale_at == Some(position)
                && events.send(request.token_event(&prompt, position, 1)).await.is_err()
            {
                return;
            }
        }
        self.cache.lock().insert(&(context + &request.completion(&prompt)));
        let end = json!({ "attempt": request.attempt, "position": request.attempt.as_ref().map(|_| request.max_tokens), "choices": [{ "index": 0, "text": "", "delta": {}, "finish_reason": "length" }] });
        // A receiver that is gone needs no end.
        let _ = events.send(end.to_string()).await;
        let _ = events.send("[DONE]".to_owned()).await;
    }

    async fn prefill(
        &self,
        request: &CompletionRequest,
        request_id: Option<String>,
        context: &str,
        n_prompt: usize,
    ) {
        let _turn = self.prefill.lock().await;
        let n_cached = self.cache.lock().cached_tokens(context);
        let seconds = (n_prompt - n_cached) as f64 / self.settings.prefill_tokens_per_s;
        self.attempts.lock().push(Attempt {
            attempt: request.attempt.clone(),
            request_id,
            prompt_tokens: n_prompt,
            cached_tokens: n_cached,
            resumed_at: request.resume_tokens.len(),
        });
        sleep(Duration::from_secs_f64(seconds)).await;
        self.cache.lock().insert(context);
    }
}

impl CompletionRequest {
    /// The request as an engine takes it that knows nothing of attempts.
    fn plain(self) -> Self {
        Self { attempt: None, resume_tokens: Vec::new(), ..self }
    }

    fn prompt(&self) -> String {
        let chat: Vec<_> = self.messages.iter().map(|it| it.content.as_str()).collect();
        self.prompt.clone().unwrap_or_else(|| chat.join("\n"))
    }

    fn completion(&self, prompt: &str) -> String {
        (0..self.max_tokens).map(|it| token(prompt, it)).collect()
    }

    /// The data of the event for one token; `staleness` above 0 gives it the id of another attempt.
    fn token_event(&self, prompt: &str, position: usize, staleness: usize) -> String {
        let attempt = if staleness == 0 {
            json!(self.attempt)
        } else {
            json!("00000000000040008000000000000000")
        };
        let text = if staleness == 0 { token(prompt, position) } else { " stale".to_owned() };
        let choice: Value = json!({ "index": 0, "text": text, "delta": { "content": text }, "finish_reason": null });
        if self.attempt.is_none() {
            return json!({ "choices": [choice] }).to_string();
        }
        json!({ "attempt": attempt, "position": position, "choices": [choice] }).to_string()
    }
}

/// Keeps the text of an attempt until dropped.
struct ContextGuard<'a> {
    engine: &'a Engine,
    name: String,
}

impl<'a> ContextGuard<'a> {
    fn start(engine: &'a Engine, name: String, context: String) -> Self {
        engine.contexts.lock().insert(name.clone(), context);
        Self { engine, name }
    }
}

impl Drop for ContextGuard<'_> {
    fn drop(&mut self) {
        self.engine.contexts.lock().remove(&self.name);
    }
}

/// Counts a request as in progress until dropped.
struct InProgressGuard<'a> {
    engine: &'a Engine,
    n_prompt: usize,
}

impl<'a> InProgressGuard<'a> {
    fn start(engine: &'a Engine, n_prompt: usize) -> Self {
        let mut in_progress = engine.in_progress.lock();
        in_progress.0 += 1;
        in_progress.1 += n_prompt;
        Self { engine, n_prompt }
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        let mut in_progress = self.engine.in_progress.lock();
        in_progress.0 -= 1;
        in_progress.1 -= self.n_prompt;
    }
}
