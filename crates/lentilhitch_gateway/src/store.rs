//! Calls to the store, with the handling of its eras.
//!
//! When the store returns from a copy, its era rises and offsets are given out again. A position of an earlier era is
//! therefore handled like one whose record has expired, and an append at such a position like a conflict. Answers of an
//! earlier era than the last known one are dropped.

use lentilhitch_policy::store_era::Observed;
use lentilhitch_types::{LogPosition, StoreEra};

use crate::{
    node::Node,
    platform::{AppendResult, CallError, Listing, Platform, ReadResult, Record, Topic},
};

/// Number of records below which a read has reached the end of the topic. A read that was limited by the size of its
/// response has more records.
const READ_PAGE_MIN: usize = 500;

impl<P: Platform> Node<P> {
    /// Returns the newest record of each key of a topic.
    pub(crate) async fn list(&self, topic: Topic) -> Result<Listing, CallError> {
        let listing = self.platform.list(topic).await?;
        self.check_era(listing.next.era())?;
        Ok(listing)
    }

    /// Reads records from a position on. If the store has returned from a copy since, the result is that the position has
    /// expired.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        from: LogPosition,
        wait_ms: u64,
    ) -> Result<ReadResult, CallError> {
        let result = self.platform.read(topic, from, wait_ms).await?;
        let era = result.era();
        self.check_era(era)?;
        if era == from.era() {
            return Ok(result);
        }
        let first = match result {
            ReadResult::Expired { first } => first,
            ReadResult::Records { .. } => LogPosition::new(era, 0),
        };
        Ok(ReadResult::Expired { first })
    }

    /// Reads a topic from `next` up to its end and sets `next` to the end.
    pub(crate) async fn read_all(
        &self,
        topic: Topic,
        next: &mut LogPosition,
    ) -> Result<Vec<Record>, CallError> {
        let mut all = Vec::new();
        loop {
            match self.read(topic, *next, 0).await? {
                ReadResult::Expired { first } if *next < first => *next = first,
                ReadResult::Expired { .. } => return Ok(all),
                ReadResult::Records { records, next: end } => {
                    let is_end = records.is_empty() || end == *next;
                    all.extend(records);
                    *next = end;
                    if is_end || all.len() < READ_PAGE_MIN {
                        return Ok(all);
                    }
                }
            }
        }
    }

    /// Appends a record, if `at` is given only at that position. The result is a conflict if the store has returned from
    /// a copy since, although the record may then have been appended in the later era.
    pub(crate) async fn append(
        &self,
        topic: Topic,
        record: Record,
        at: Option<LogPosition>,
    ) -> Result<AppendResult, CallError> {
        let current = self.state.borrow().store_era;
        if let (Some(at), Some(era)) = (at, current.current())
            && !current.is_usable(at)
        {
            return Ok(AppendResult::Conflict { era });
        }
        let result = self.platform.append(topic, record, at).await?;
        let era = result.era();
        self.check_era(era)?;
        if at.is_some_and(|it| it.era() != era) {
            return Ok(AppendResult::Conflict { era });
        }
        Ok(result)
    }

    /// Handles the era of an answer of the store. Returns an error if the answer is of an earlier era.
    fn check_era(&self, era: StoreEra) -> Result<(), CallError> {
        if self.on_store_era(era) == Observed::Outdated {
            log::info!(era:% = era; "dropping answer of an earlier era of the store");
            return Err(CallError::Unknown(format!(
                "answer of the earlier era {era} of the store"
            )));
        }
        Ok(())
    }
}

impl<P> Node<P> {
    /// Handles the era in news of another node, which has no effect if this node has not called the store yet.
    pub(crate) fn learn_store_era(&self, era: StoreEra) {
        let current = self.state.borrow().store_era.current();
        if current.is_some_and(|it| it < era) {
            self.on_store_era(era);
        }
    }

    /// Handles the era of the store in an answer or in news from another node.
    fn on_store_era(&self, era: StoreEra) -> Observed {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let observed = state.store_era.observe(era);
        if let Observed::Restored { previous } = observed {
            log::warn!(previous:% = previous, era:% = era; "the store has returned from a copy");
            state.catalog.on_store_restored(now_ms);
            state.usage_counter.mark_unwritten();
            self.store_restored.send_replace(era);
        }
        observed
    }
}
