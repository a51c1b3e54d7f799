//! Execution of one attempt: waiting for a slot, prefill and decode.

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

/// The engine's process crashes when a prompt contains this text.
const CRASH_MARKER: &str = "CRASH-THE-ENGINE";

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub prefill_tokens_per_s: f64,
    /// Time to generate one token, in milliseconds.
    pub decode_ms: u64,
    pub slots: usize,
    pub cache_blocks_max: usize,
    /// Number of tokens whose KV cache can be exported per second.
    pub kv_tokens_per_s: f64,
    /// Whether orders with an outdated fencing token, and orders past their time limit, are rejected.
    pub checks_fencing: bool,
}

/// Body of a completion request.
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
    /// Tokens of the completion that an earlier attempt has generated already.
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

/// What the engine executed for one attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub attempt: Option<String>,
    pub request_id: Option<String>,
    /// Number of prompt tokens, resumed tokens included.
    pub prompt_tokens: usize,
    pub cached_tokens: usize,
    /// Position of the first token that this engine generated.
    pub resumed_at: usize,
}

/// An order to load a model version, and whether the engine followed it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    pub version: String,
    /// Fencing token of the sender.
    pub fencing: u64,
    /// Time limit on the engine's clock, in milliseconds.
    pub not_after_ms: u64,
    #[serde(default)]
    pub is_followed: bool,
}

/// State of the engine.
pub(crate) struct Engine {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    pub(crate) orders: Mutex<Vec<Order>>,
    pub(crate) started: Instant,
    cache: Mutex<Cache>,
    /// Text of each attempt in progress, including the prompt.
    contexts: Mutex<FxHashMap<String, String>>,
    slots: Semaphore,
    /// Serializes prefill in the order of arrival.
    prefill: FairMutex<()>,
    /// Number of requests in progress, and the sum of their prompt tokens, resumed tokens included.
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

    /// Returns the number of requests in progress and the sum of their prompt tokens, resumed tokens included.
    pub(crate) fn load(&self) -> (usize, usize) {
        *self.in_progress.lock()
    }

    /// Records an order. Returns whether it is followed.
    pub(crate) fn apply_order(&self, mut order: Order) -> bool {
        let mut orders = self.orders.lock();
        let highest_token = orders.iter().filter(|it| it.is_followed).map(|it| it.fencing).max();
        let is_outdated = highest_token.is_some_and(|it| order.fencing < it)
            || order.not_after_ms < self.now_ms();
        order.is_followed = !(self.settings.checks_fencing && is_outdated);
        let is_followed = order.is_followed;
        orders.push(order);
        is_followed
    }

    /// Returns the version of the last order that was followed.
    pub(crate) fn version(&self) -> Option<String> {
        self.orders.lock().iter().rev().find(|it| it.is_followed).map(|it| it.version.clone())
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Exports the KV cache of an attempt in progress. Takes as long as the transfer would.
    pub(crate) async fn export(&self, attempt: &str) -> Option<Vec<u64>> {
        let context = self.contexts.lock().get(attempt).cloned()?;
        let duration_s = context.split_whitespace().count() as f64 / self.settings.kv_tokens_per_s;
        sleep(Duration::from_secs_f64(duration_s)).await;
        Some(cache::hashes(&context))
    }

    /// Imports the KV cache of another engine's attempt.
    pub(crate) fn import(&self, blocks: &[u64]) {
        self.cache.lock().insert_hashes(blocks);
    }

    /// Executes an attempt and sends the data of its server-sent events. Stops when the receiver is dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        request: CompletionRequest,
        request_id: Option<String>,
        events: mpsc::Sender<String>,
    ) {
        let prompt = request.prompt();
        let context = prompt.clone() + &request.resume_tokens.concat();
        let n_prompt_tokens = context.split_whitespace().count();
        let _in_progress = InProgressGuard::start(&self, n_prompt_tokens);
        let attempt_id = request.attempt.clone().unwrap_or_default();
        let _context_guard = ContextGuard::start(&self, attempt_id.clone(), context.clone());
        let Ok(_slot) = self.slots.acquire().await else { return };
        self.prefill(&request, request_id, &context, n_prompt_tokens).await;
        if prompt.contains(CRASH_MARKER) {
            std::process::exit(139);
        }
        let faults = self.faults.lock().clone();
        let request = if faults.interface == Interface::Plain { request.plain() } else { request };
        for position in request.resume_tokens.len()..request.max_tokens {
            sleep(Duration::from_millis(self.settings.decode_ms)).await;
            if let Some(text) = self.contexts.lock().get_mut(&attempt_id) {
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
            let sent_position = faults.sent_position(position, request.max_tokens);
            if events.send(request.token_event(&prompt, sent_position, 0)).await.is_err() {
                return;
            }
            if faults.stale_at == Some(position)
                && events.send(request.token_event(&prompt, position, 1)).await.is_err()
            {
                return;
            }
        }
        self.cache.lock().insert(&(context + &request.completion(&prompt)));
        let final_event = json!({ "attempt": request.attempt, "position": request.attempt.as_ref().map(|_| request.max_tokens), "choices": [{ "index": 0, "text": "", "delta": {}, "finish_reason": "length" }] });
        // The receiver may have been dropped, and then needs no final event.
        let _ = events.send(final_event.to_string()).await;
        let _ = events.send("[DONE]".to_owned()).await;
    }

    async fn prefill(
        &self,
        request: &CompletionRequest,
        request_id: Option<String>,
        context: &str,
        n_prompt_tokens: usize,
    ) {
        let _prefill_guard = self.prefill.lock().await;
        let n_cached_tokens = self.cache.lock().cached_tokens(context);
        let duration_s =
            (n_prompt_tokens - n_cached_tokens) as f64 / self.settings.prefill_tokens_per_s;
        self.attempts.lock().push(Attempt {
            attempt: request.attempt.clone(),
            request_id,
            prompt_tokens: n_prompt_tokens,
            cached_tokens: n_cached_tokens,
            resumed_at: request.resume_tokens.len(),
        });
        sleep(Duration::from_secs_f64(duration_s)).await;
        self.cache.lock().insert(context);
    }
}

impl CompletionRequest {
    /// Returns the request as an engine without support for attempts decodes it.
    fn plain(self) -> Self {
        Self { attempt: None, resume_tokens: Vec::new(), ..self }
    }

    fn prompt(&self) -> String {
        let chat: Vec<_> = self.messages.iter().map(|it| it.content.as_str()).collect();
        self.prompt.clone().unwrap_or_else(|| chat.join("\n"))
    }

    /// Returns the complete text that is generated for the prompt.
    fn completion(&self, prompt: &str) -> String {
        (0..self.max_tokens).map(|it| token(prompt, it)).collect()
    }

    /// Returns the event data for one token. A `staleness` above 0 makes it a token of another
    /// attempt, with that attempt's ID.
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

/// Holds the text of an attempt in the engine's state until dropped.
struct ContextGuard<'a> {
    engine: &'a Engine,
    attempt_id: String,
}

impl<'a> ContextGuard<'a> {
    fn start(engine: &'a Engine, attempt_id: String, context: String) -> Self {
        engine.contexts.lock().insert(attempt_id.clone(), context);
        Self { engine, attempt_id }
    }
}

impl Drop for ContextGuard<'_> {
    fn drop(&mut self) {
        self.engine.contexts.lock().remove(&self.attempt_id);
    }
}

/// Counts a request as in progress until dropped.
struct InProgressGuard<'a> {
    engine: &'a Engine,
    n_prompt_tokens: usize,
}

impl<'a> InProgressGuard<'a> {
    fn start(engine: &'a Engine, n_prompt_tokens: usize) -> Self {
        let mut in_progress = engine.in_progress.lock();
        in_progress.0 += 1;
        in_progress.1 += n_prompt_tokens;
        Self { engine, n_prompt_tokens }
    }
}

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        let mut in_progress = self.engine.in_progress.lock();
        in_progress.0 -= 1;
        in_progress.1 -= self.n_prompt_tokens;
    }
}
