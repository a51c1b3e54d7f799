//! Checks that competing processes send a call at most once, even when appends are lost and processes freeze or are
//! killed.

use lentilhitch_chart::charts::call::{Action, Event, State};
use lentilhitch_policy::{
    at_most_once::{Call, ClaimRecord, Claims, KEY_RETENTION_MS, Lookup, StoredResponse},
    fold::{Fold, RecordMeta},
};
use lentilhitch_types::{AttemptId, Fingerprint, InstanceName, LogOffset};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};

const KEY: Fingerprint = Fingerprint(7);
const BODY: Fingerprint = Fingerprint(8);
const N_PROCESSES: usize = 3;

fn claimant() -> InstanceName {
    "entry-1".parse().unwrap()
}

fn response() -> StoredResponse {
    StoredResponse { status: 201, content_type: None, body: Some("done".to_owned()) }
}

/// Simulated process: the claims that it has read, and its call if there is one.
#[derive(Default)]
struct Process {
    claims: Claims,
    n_read: usize,
    call: Option<Call>,
    /// Records that were sent and are not in the log yet. They may be written late or never.
    in_flight: Vec<ClaimRecord>,
    /// Whether the call may be sent but has not been sent yet.
    may_send: bool,
}

#[derive(Default)]
struct Simulation {
    log: Vec<Vec<ClaimRecord>>,
    n_sent: usize,
    n_attempts: u128,
    processes: [Process; N_PROCESSES],
}

#[derive(Clone, Debug)]
enum Operation {
    Call(usize),
    DeliverAppends(usize),
    LoseAppends(usize),
    AppendResponseLost(usize),
    Read(usize),
    Send(usize),
    Respond(usize),
    BreakConnection(usize),
    FailConnect(usize),
    Deadline(usize),
    Kill(usize),
    LoseClaimant(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    let process = 0..N_PROCESSES;
    prop_oneof![
        3 => process.clone().prop_map(Operation::Call),
        5 => process.clone().prop_map(Operation::DeliverAppends),
        1 => process.clone().prop_map(Operation::LoseAppends),
        1 => process.clone().prop_map(Operation::AppendResponseLost),
        6 => process.clone().prop_map(Operation::Read),
        3 => process.clone().prop_map(Operation::Send),
        2 => process.clone().prop_map(Operation::Respond),
        1 => process.clone().prop_map(Operation::BreakConnection),
        1 => process.clone().prop_map(Operation::FailConnect),
        1 => process.clone().prop_map(Operation::Deadline),
        1 => process.clone().prop_map(Operation::LoseClaimant),
        1 => process.prop_map(Operation::Kill),
    ]
}

impl Simulation {
    fn apply(&mut self, operation: &Operation) {
        match *operation {
            Operation::Call(idx) => self.start_call(idx),
            Operation::DeliverAppends(idx) => {
                let batch = std::mem::take(&mut self.processes[idx].in_flight);
                if !batch.is_empty() {
                    self.log.push(batch);
                }
            }
            Operation::LoseAppends(idx) => self.processes[idx].in_flight.clear(),
            Operation::LoseClaimant(idx) => self.event(idx, Event::ClaimantGone),
            Operation::AppendResponseLost(idx) => self.event(idx, Event::AppendLost),
            Operation::Read(idx) => self.read(idx),
            Operation::Send(idx) => self.send(idx),
            Operation::Respond(idx) => self.event(idx, Event::UpstreamAnswered),
            Operation::BreakConnection(idx) => self.event(idx, Event::UpstreamBroken),
            Operation::FailConnect(idx) => {
                if self.processes[idx].call.as_ref().is_some_and(|it| it.state() == State::Won) {
                    self.processes[idx].may_send = false;
                    self.event(idx, Event::ConnectFailed);
                }
            }
            Operation::Deadline(idx) => {
                self.processes[idx].may_send = false;
                self.event(idx, Event::Deadline);
            }
            Operation::Kill(idx) => {
                let in_flight = std::mem::take(&mut self.processes[idx].in_flight);
                self.processes[idx] = Process { in_flight, ..Process::default() };
            }
        }
    }

    fn start_call(&mut self, idx: usize) {
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
        let actions = call.check_claims(&process.claims);
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
                    process.in_flight.push(ClaimRecord::Outcome {
                        key,
                        attempt,
                        response: response(),
                    });
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
    fn a_call_is_sent_at_most_once(operations in proptest::collection::vec(operation(), 1..200)) {
        let mut simulation = Simulation::default();
        for operation in &operations {
            simulation.apply(operation);
            prop_assert!(simulation.n_sent <= 1, "sent {} times", simulation.n_sent);
        }
    }

    #[test]
    fn claims_agree_with_naive_search(records in proptest::collection::vec((0..3_u8, 0..2_u128, 1..4_u128), 0..40)) {
        let mut claims = Claims::default();
        let mut history = Vec::new();
        for (offset, (kind, key, attempt)) in records.into_iter().enumerate() {
            // Each attempt belongs to one key.
            let (key, attempt) = (Fingerprint(key), AttemptId::from_random(key * 100 + attempt));
            let record = match kind {
                0 => ClaimRecord::Claim { key, body: BODY, attempt, claimant: claimant() },
                1 => ClaimRecord::Outcome { key, attempt, response: response() },
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
    fn keys_are_kept_for_the_retention_period(age_ms in prop_oneof![Just(KEY_RETENTION_MS - 1), Just(KEY_RETENTION_MS)]) {
        let mut claims = Claims::default();
        let claim = ClaimRecord::Claim { key: KEY, body: BODY, attempt: AttemptId::from_random(1), claimant: claimant() };
        claims.apply(RecordMeta { offset: LogOffset(0), appended_ms: 5 }, &vec![claim]);
        claims.apply(RecordMeta { offset: LogOffset(1), appended_ms: 5 + age_ms }, &vec![]);
        prop_assert_eq!(claims.n_keys(), usize::from(age_ms < KEY_RETENTION_MS));
    }
}

/// Reference implementation that scans the complete history for each lookup.
fn naive_lookup(history: &[ClaimRecord], wanted: Fingerprint) -> Lookup {
    let mut winner = None;
    let mut stored = None;
    let mut released = Vec::new();
    for record in history {
        match record {
            ClaimRecord::Claim { key, attempt, .. }
                if *key == wanted && winner.is_none() && !released.contains(attempt) =>
            {
                winner = Some(*attempt);
            }
            ClaimRecord::Outcome { key, attempt, response }
                if *key == wanted && winner == Some(*attempt) =>
            {
                stored = stored.or(Some(response.clone()));
            }
            ClaimRecord::Released { attempt, .. } if winner != Some(*attempt) => {
                released.push(*attempt);
            }
            ClaimRecord::Released { key, attempt } if *key == wanted && stored.is_none() => {
                winner = None;
                released.push(*attempt);
            }
            _ => {}
        }
    }
    match (winner, stored) {
        (None, _) => Lookup::Free,
        (Some(_), Some(response)) => Lookup::OutcomeKnown(response),
        (Some(_), None) => Lookup::Open(claimant()),
    }
}
