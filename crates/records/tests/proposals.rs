//! Guards against acceptances by the wrong owner, on an outdated configuration, or of a decided proposal.

mod support;

use arbutuspick_model::{ConfigRevision, PlatformTime};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    AcceptanceBase, AccountRequest, HeadRecord, OwnerDecision, PlannedChange, ProposalError, ProposalId,
    ProposalRecord, ProposalState, Questionnaire, RevisionRecord, RowKey, TurnError, TurnRecord, Versioned,
};
use support::*;

const JANUARY: PlatformTime = PlatformTime(NOW.0 + 31 * 86_400_000);

struct ProposalFixture {
    table: MemoryTable,
    turn: Versioned<TurnRecord>,
    head: Option<Versioned<HeadRecord>>,
}

fn fixture() -> ProposalFixture {
    let mut table = MemoryTable::default();
    let rotation = vec![owner("association"), owner("copa-viva")];
    let turn = commit(&mut table, TurnRecord::begin(rotation, NOW, write_id(1)).unwrap());
    ProposalFixture {
        table,
        turn,
        head: None,
    }
}

impl ProposalFixture {
    fn propose(&mut self) -> Versioned<ProposalRecord> {
        let request = AccountRequest::try_from(Questionnaire {
            account: "parks".into(),
            owner: "association".into(),
            home_data_centre: "trent".into(),
            small_jobs_at_once: 4,
            peak_queue: 10,
            ..Questionnaire::default()
        });
        let (id, base) = (ProposalId::generate(), ConfigRevision(0));
        commit(
            &mut self.table,
            ProposalRecord::propose(id, request.unwrap(), base, NOW, write_id(2)),
        )
    }

    fn decision(&self, name: &str, now: PlatformTime) -> OwnerDecision<'_> {
        OwnerDecision {
            owner: owner(name),
            turn: &self.turn,
            now,
        }
    }

    fn accept(
        &self,
        row: &Versioned<ProposalRecord>,
        name: &str,
        now: PlatformTime,
    ) -> Result<PlannedChange<ProposalRecord>, ProposalError> {
        let checked_at = self
            .head
            .as_ref()
            .map_or(ConfigRevision(0), |head| head.record.revision);
        let base = AcceptanceBase {
            head: self.head.as_ref(),
            checked_at,
        };
        row.accept(&self.decision(name, now), base, write_id(3))
    }

    fn reload(&mut self) {
        self.head = self.table.load(&RowKey::Head).unwrap();
        self.turn = self.table.load(&RowKey::Turn).unwrap().unwrap();
    }
}

#[test]
fn acceptance() {
    let mut fixture = fixture();
    let row = fixture.propose();
    let change = fixture.accept(&row, "association", NOW).unwrap();
    let accepted = commit(&mut fixture.table, change);
    fixture.reload();
    assert_eq!(fixture.head.as_ref().unwrap().record.revision, ConfigRevision(1));
    let key = RowKey::Revision(ConfigRevision(1));
    let revision: Versioned<RevisionRecord> = fixture.table.load(&key).unwrap().unwrap();
    assert_eq!(
        revision.record.change.config,
        Some(accepted.record.config.clone())
    );
    assert_eq!(revision.record.accepted_by, owner("association"));
    let again = fixture.accept(&accepted, "association", NOW);
    assert!(matches!(again, Err(ProposalError::Transition { .. })));
}

#[test]
fn concurrent_acceptances() {
    let mut fixture = fixture();
    let (first, second) = (fixture.propose(), fixture.propose());
    let late = fixture.accept(&second, "association", NOW).unwrap();
    let change = fixture.accept(&first, "association", NOW).unwrap();
    commit(&mut fixture.table, change);
    assert!(conflicts(&mut fixture.table, &late.transaction));
    fixture.reload();
    let base = AcceptanceBase {
        head: fixture.head.as_ref(),
        checked_at: ConfigRevision(0),
    };
    let stale = second.accept(&fixture.decision("association", NOW), base, write_id(4));
    assert!(matches!(stale, Err(ProposalError::HeadMoved { .. })));
    let change = fixture.accept(&second, "association", NOW).unwrap();
    assert_eq!(change.record.revision, Some(ConfigRevision(2)));
}

#[test]
fn wrong_owner() {
    let mut fixture = fixture();
    let row = fixture.propose();
    let refused = fixture.accept(&row, "copa-viva", NOW);
    assert!(matches!(refused, Err(ProposalError::WrongOwner { .. })));
    let refused = fixture.accept(&row, "association", JANUARY);
    assert!(matches!(refused, Err(ProposalError::MonthOver { .. })));
}

/// The owner of the previous month accepts while the turn is advanced concurrently.
#[test]
fn month_end() {
    let mut fixture = fixture();
    let row = fixture.propose();
    let late = fixture.accept(&row, "association", JANUARY - 1).unwrap();
    let change = fixture.turn.advance(JANUARY, write_id(5)).unwrap();
    commit(&mut fixture.table, change);
    assert!(conflicts(&mut fixture.table, &late.transaction));
    fixture.reload();
    assert!(fixture.accept(&row, "copa-viva", JANUARY).is_ok());
}

#[test]
fn conflicting_decisions() {
    let mut fixture = fixture();
    let row = fixture.propose();
    let reject = row
        .reject(&fixture.decision("association", NOW), write_id(3))
        .unwrap();
    let replaced = row.supersede(write_id(4)).unwrap();
    assert_eq!(reject.record.decided_by, Some(owner("association")));
    let replaced = commit(&mut fixture.table, replaced);
    assert_eq!(replaced.record.state, ProposalState::Superseded);
    assert!(conflicts(&mut fixture.table, &reject.transaction));
}

#[test]
fn rotation() {
    let mut turn = fixture().turn.record;
    let advance = |turn: &TurnRecord, now| {
        Versioned::new(turn.clone(), fixture().turn.version).advance(now, write_id(5))
    };
    assert!(matches!(
        advance(&turn, JANUARY - 1),
        Err(TurnError::NotOver { .. })
    ));
    let two_months_later = JANUARY + 40 * 86_400_000;
    turn = advance(&turn, two_months_later).unwrap().record;
    assert_eq!(
        (turn.month.to_string().as_str(), turn.owner.as_str()),
        ("2027-01", "copa-viva")
    );
    turn = advance(&turn, two_months_later).unwrap().record;
    assert_eq!(
        (turn.month.to_string().as_str(), turn.owner.as_str()),
        ("2027-02", "association")
    );
    assert!(advance(&turn, two_months_later).is_err());
    turn.owner = owner("left-the-pool");
    turn = advance(&turn, JANUARY + 90 * 86_400_000).unwrap().record;
    assert_eq!(turn.owner.as_str(), "association");
    assert_eq!(
        TurnRecord::begin(Vec::new(), NOW, write_id(1)).unwrap_err(),
        TurnError::EmptyRotation
    );
}
