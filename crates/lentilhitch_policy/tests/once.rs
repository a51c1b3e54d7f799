//! Racing processes send a call at most once, whatever is lost, frozen or killed.

use lentilhitch_chart::charts::call::{Action, Event, State};
use lentilhitch_policy::{
    fold::{Fold, RecordMeta},
    once::{Call, ClaimRecord, Claims, KEY_WINDOW_MS, KeptAnswer, Lookup},
};
use lentilhitch_types::{AttemptId, Fingerprint, InstanceName, LogOffset};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};

const KEY: Fingerprint = Fingerprint(7);
const BODY: Fingerprint = Fingerprint(8);
const N_PROCESSES: usize = 3;

fn claimant() -> InstanceName {
    "entry-1".parse().unwrap()
}

fn answer() -> KeptAnswer {
    KeptAnswer { status: 201, content_type: None, body: Some("done".to_owned()) }
}

/// One process: what it has read, and its call if it has one.
#[derive(Default)]
struct Process {
    claims: Claims,
    n_read: usize,
    call: Option<Call>,
    /// Records sent and not yet in the log; they may land late or never.
    in_flight: Vec<ClaimRecord>,
    /// Sends that were decided and not yet carried out.
    may_send: bool,
}

#[derive(Default)]
struct World {
    log: Vec<Vec<ClaimRecord>>,
    n_sent: usize,
    n_attempts: u128,
    processes: [Process; N_PROCESSES],
}

#[derive(Clone, Debug)]
enum Act {
    Call(usize),
    Land(usize),
    Lose(usize),
    AnswerLost(usize),
    Read(usize),
    Send(usize),
    Answer(usize),
    Break(usize),
    ConnectFails(usize),
    Deadline(usize),
    Kill(usize),
    ClaimantGone(usize),
}

fn act() -> impl Strategy<Value = Act> {
    let process = 0..N_PROCESSES;
    prop_oneof![
        3 => process.clone().prop_map(Act::Call),
        5 => process.clone().prop_map(Act::Land),
        1 => process.clone().prop_map(Act::Lose),
        1 => process.clone().prop_map(Act::AnswerLost),
        6 => process.clone().prop_map(Act::Read),
        3 => process.clone().prop_map(Act::Send),
        2 => process.clone().prop_map(Act::Answer),
        1 => process.clone().prop_map(Act::Break),
        1 => process.clone().prop_map(Act::ConnectFails),
        1 => process.clone().prop_map(Act::Deadline),
        1 => process.clone().prop_map(Act::ClaimantGone),
        1 => process.prop_map(Act::Kill),
    ]
}

impl World {
    fn act(&mut self, act: &Act) {
        match *act {
            Act::Call(idx) => self.begin(idx),
            Act::Land(idx) => {
                let batch = std::mem::take(&mut self.processes[idx].in_flight);
                if !batch.is_empty() {
                    self.log.push(batch);
                }
            }
            Act::Lose(idx) => self.processes[idx].in_flight.clear(),
            Act::ClaimantGone(idx) => self.event(idx, Event::ClaimantGone),
            Act::AnswerLost(idx) => self.event(idx, Event::AppendLost),
            Act::Read(idx) => self.read(idx),
            Act::Send(idx) => self.send(idx),
            Act::Answer(idx) => self.event(idx, Event::UpstreamAnswered),
            Act::Break(idx) => self.event(idx, Event::UpstreamBroken),
            Act::ConnectFails(idx) => {
                if self.processes[idx].call.as_ref().is_some_and(|it| it.state() == State::Won) {
                    self.processes[idx].may_send = false;
                    self.event(idx, Event::ConnectFailed);
                }
            }
            Act::Deadline(idx) => {
                self.processes[idx].may_send = false;
                self.event(idx, Event::Deadline);
            }
            Act::Kill(idx) => {
                let in_flight = std::mem::take(&mut self.processes[idx].in_flight);
                self.processes[idx] = Process { in_flight, ..Process::default() };
            }
        }
    }

    fn begin(&mut self, idx: usize) {
        self.n_attempts += 1;
        let attempt = AttemptId::from_random(self.n_attempts);
        let process = &mut self.processes[idx];
        if process.call.as_ref().is_none_or(Call::is_final) {
            process.call = Some(Call::new(KEY, BODY, attempt));
            self.read(idx);
        }
    }

    fn read(&mut self, idx: usize) {
        let process = &mut self.processes[idx];
        for (offset, batch) in self.log.iter().enumerate().skip(process.n_read) {
            process
                .claims
                .apply(RecordMeta { offset: LogOffset(offset as u64), appended_ms: 0 }, batch);
        }
        process.n_read = self.log.len();
        let Some(call) = &mut process.call else { return };
        let actions = call.consult(&process.claims);
        self.perform(idx, &actions);
    }

    fn event(&mut self, idx: usize, event: Event) {
        let Some(call) = &mut self.processes[idx].call else { return };
        let actions = call.step(event);
        self.perform(idx, &actions);
    }

    fn perform(&mut self, idx: usize, actions: &[Action]) {
        let process = &mut self.processes[idx];
        let Some(call) = &process.call else { return };
        let (key, body, attempt) = (call.key, call.body, call.attempt);
        for action in actions {
            match action {
                Action::AppendClaim => {
                    process.in_flight.push(ClaimRecord::Claim {
                        key,
                        body,
                        attempt,
                        claimant: claimant(),
                    });
                }
                Action::Send => process.may_send = true,
                Action::RecordOutcome => {
                    process.in_flight.push(ClaimRecord::Outcome { key, attempt, answer: answer() });
                }
                Action::Release => {
                    process.in_flight.push(ClaimRecord::Released { key, attempt });
                }
                Action::ReadLog => {}
            }
        }
    }

    fn send(&mut self, idx: usize) {
        if std::mem::take(&mut self.processes[idx].may_send) {
            self.n_sent += 1;
            self.event(idx, Event::Dispatched);
        }
    }
}

proptest! {
    #[test]
    fn a_call_is_sent_at_most_once(acts in proptest::collection::vec(act(), 1..200)) {
        let mut world = World::default();
        for act in &acts {
            world.act(act);
            prop_assert!(world.n_sent <= 1, "sent {} times", world.n_sent);
        }
    }

    #[test]
    fn claims_agree_with_naive_search(records in proptest::collection::vec((0..3_u8, 0..2_u128, 1..4_u128), 0..40)) {
        let mut claims = Claims::default();
        let mut history = Vec::new();
        for (offset, (kind, key, attempt)) in records.into_iter().enumerate() {
            // An attempt is made for one key.
            let (key, attempt) = (Fingerprint(key), AttemptId::from_random(key * 100 + attempt));
            let record = match kind {
                0 => ClaimRecord::Claim { key, body: BODY, attempt, claimant: claimant() },
                1 => ClaimRecord::Outcome { key, attempt, answer: answer() },
                _ => ClaimRecord::Released { key, attempt },
            };
            claims.apply(RecordMeta { offset: LogOffset(offset as u64), appended_ms: 0 }, &vec![record.clone()]);
            history.push(record);
            for key in [Fingerprint(0), Fingerprint(1)] {
                prop_assert_eq!(claims.lookup(key, BODY), naive_lookup(&history, key));
            }
        }
    }

    #[test]
    fn another_body_under_the_same_key_is_a_mismatch(body in any::<u128>()) {
        let mut claims = Claims::default();
        let claim = ClaimRecord::Claim { key: KEY, body: BODY, attempt: AttemptId::from_random(1), claimant: claimant() };
        claims.apply(RecordMeta { offset: LogOffset(0), appended_ms: 0 }, &vec![claim]);
        let expected = if Fingerprint(body) == BODY { Lookup::Open(claimant()) } else { Lookup::Mismatch };
        prop_assert_eq!(claims.lookup(KEY, Fingerprint(body)), expected);
    }

    #[test]
    fn keys_are_remembered_for_the_window(age_ms in prop_oneof![Just(KEY_WINDOW_MS - 1), Just(KEY_WINDOW_MS)]) {
        let mut claims = Claims::default();
        let claim = ClaimRecord::Claim { key: KEY, body: BODY, attempt: AttemptId::from_random(1), claimant: claimant() };
        claims.apply(RecordMeta { offset: LogOffset(0), appended_ms: 5 }, &vec![claim]);
        claims.apply(RecordMeta { offset: LogOffset(1), appended_ms: 5 + age_ms }, &vec![]);
        prop_assert_eq!(claims.n_keys(), usize::from(age_ms < KEY_WINDOW_MS));
    }
}

/// Searches the whole history again for each question.
fn naive_lookup(history: &[ClaimRecord], wanted: Fingerprint) -> Lookup {
    let mut held = None;
    let mut kept = None;
    let mut released = Vec::new();
    for record in history {
        match record {
            ClaimRecord::Claim { key, attempt, .. }
                if *key == wanted && held.is_none() && !released.contains(attempt) =>
            {
                held = Some(*attempt);
            }
            ClaimRecord::Outcome { key, attempt, answer }
                if *key == wanted && held == Some(*attempt) =>
            {
                kept = kept.or(Some(answer.clone()));
            }
            ClaimRecord::Released { attempt, .. } if held != Some(*attempt) => {
                released.push(*attempt);
            }
            ClaimRecord::Released { key, attempt } if *key == wanted && kept.is_none() => {
                held = None;
                released.push(*attempt);
            }
            _ => {}
        }
    }
    match (held, kept) {
        (None, _) => Lookup::Free,
        (Some(_), Some(answer)) => Lookup::Answered(answer),
        (Some(_), None) => Lookup::Open(claimant()),
    }
}
