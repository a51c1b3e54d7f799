//! Checks that two candidates never hold permits at the same time, even when processes freeze and appends are lost or
//! late.

use lentilhitch_chart::charts::lease::{Action, Event, State};
use lentilhitch_policy::{
    fold::{Fold, RecordMeta},
    lease::{Candidate, LeaseRecord, Leases, Settings},
};
use lentilhitch_types::{AttemptId, LogOffset};
use proptest::prelude::{Strategy, prop_assert, prop_oneof, proptest};

const N_PROCESSES: usize = 3;

#[derive(Clone, Debug)]
enum Operation {
    Advance(u64),
    Tick(usize),
    DeliverAppends(usize),
    LoseAppends(usize),
    Read(usize),
    Stop(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => (1..1500_u64).prop_map(Operation::Advance),
        4 => (0..N_PROCESSES).prop_map(Operation::Tick),
        4 => (0..N_PROCESSES).prop_map(Operation::DeliverAppends),
        1 => (0..N_PROCESSES).prop_map(Operation::LoseAppends),
        4 => (0..N_PROCESSES).prop_map(Operation::Read),
        1 => (0..N_PROCESSES).prop_map(Operation::Stop),
    ]
}

struct Process {
    candidate: Candidate,
    leases: Leases,
    n_read: usize,
    in_flight: Vec<LeaseRecord>,
    /// Difference between this process's clock and the log's clock.
    clock_offset_ms: u64,
}

fn process(idx: usize) -> Process {
    let holder = format!("entry-{idx}").parse().unwrap();
    let candidate = Candidate::new(
        "capacity".to_owned(),
        holder,
        AttemptId::from_random(idx as u128),
        Settings::default(),
    );
    Process {
        candidate,
        leases: Leases::default(),
        n_read: 0,
        in_flight: Vec::new(),
        clock_offset_ms: idx as u64 * 100_000,
    }
}

proptest! {
    #[test]
    fn one_holder_at_a_time(operations in proptest::collection::vec(operation(), 1..300)) {
        let mut now_ms = 1_000_000;
        let mut log: Vec<(u64, LeaseRecord)> = Vec::new();
        let mut processes: Vec<_> = (0..N_PROCESSES).map(process).collect();
        let mut n_attempts = 100;
        let mut fencing_token_max = None;
        for operation in operations {
            match operation {
                Operation::Advance(ms) => now_ms += ms,
                Operation::Tick(idx) => {
                    let process = &mut processes[idx];
                    let local_ms = now_ms + process.clock_offset_ms;
                    for action in process.candidate.tick(local_ms, now_ms, &process.leases) {
                        if action == Action::AppendRequest {
                            n_attempts += 1;
                            let record = process.candidate.request_record(AttemptId::from_random(n_attempts), local_ms);
                            process.in_flight.push(record);
                        }
                    }
                }
                Operation::DeliverAppends(idx) => log.extend(processes[idx].in_flight.drain(..).map(|it| (now_ms, it))),
                Operation::LoseAppends(idx) => processes[idx].in_flight.clear(),
                Operation::Read(idx) => {
                    let process = &mut processes[idx];
                    for (offset, (appended_ms, record)) in log.iter().enumerate().skip(process.n_read) {
                        process.leases.apply(RecordMeta { offset: LogOffset(offset as u64), appended_ms: *appended_ms }, record);
                    }
                    process.n_read = log.len();
                }
                Operation::Stop(idx) => {
                    let process = &mut processes[idx];
                    if matches!(process.candidate.state(), State::Held | State::Renewing) {
                        process.candidate.step(Event::Terminate);
                        let record = process.candidate.release_record();
                        process.in_flight.push(record);
                    }
                }
            }
            let permits: Vec<_> = processes.iter().filter_map(|it| it.candidate.permit(now_ms + it.clock_offset_ms)).collect();
            prop_assert!(permits.len() <= 1, "{} holders at {now_ms}", permits.len());
            for process in &processes {
                let unfenced = process.candidate.unfenced_permit(now_ms + process.clock_offset_ms);
                prop_assert!(unfenced.is_none() || unfenced == process.candidate.permit(now_ms + process.clock_offset_ms));
            }
            if let Some(permit) = permits.first() {
                prop_assert!(fencing_token_max <= Some(permit.fencing_token), "the fencing token decreased");
                fencing_token_max = Some(permit.fencing_token);
            }
        }
    }
}

#[test]
fn an_uncontended_candidate_gets_and_keeps_the_lease() {
    let mut process = process(0);
    let mut n_records = 0;
    let mut held_ms = 0;
    for now_ms in (0..30_000).step_by(100) {
        for action in process.candidate.tick(now_ms, now_ms, &process.leases) {
            if action == Action::AppendRequest {
                let record = process
                    .candidate
                    .request_record(AttemptId::from_random(u128::from(now_ms)), now_ms);
                process.leases.apply(
                    RecordMeta { offset: LogOffset(n_records), appended_ms: now_ms },
                    &record,
                );
                n_records += 1;
            }
        }
        held_ms += u64::from(process.candidate.permit(now_ms).is_some()) * 100;
    }
    assert!(29_000 <= held_ms, "held for {held_ms} ms of 30000");
    assert!(n_records <= 16, "{n_records} appends in 30 s");
}
