//! Guards against acceptances by the wrong owner, on an old configuration, or of a decided proposal.

mod support;

use arbutuspick_model::{ConfigRevision, PlatformTime};
use arbutuspick_records::memory::MemoryTable;
use arbutuspick_records::{
    AcceptanceBase, AccountRequest, HeadRecord, OwnerDecision, PlannedChange, ProposalError, ProposalId,
    ProposalRecord, ProposalState, Questionnaire, RevisionRecord, RowKey, TurnError, TurnRecord, Versioned,
};
use support::*;

const JANUARY: PlatformTime = PlatformTime(NOW.0 + 31 * 86_400_000);

struct Setup {
    table: MemoryTable,
    turn: Versioned<TurnRecord>,
    head: Option<Versioned<HeadRecord>>,
}

fn setup() -> Setup {
    let mut table = MemoryTable::default();
    let rotation = vec![owner("association"), owner("copa-viva")];
    let turn = commit(&mut table, TurnRecord::begin(rotation, NOW, write(1)).unwrap());
    Setup {
        table,
        turn,
        head: None,
    }
}

impl Setup {
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
            ProposalRecord::propose(id, request.unwrap(), base, NOW, write(2)),
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
        row.accept(&self.decision(name, now), base, write(3))
    }

    fn reload(&mut self) {
        self.head = self.table.load(&RowKey::Head).unwrap();
        self.turn = self.table.load(&RowKey::Turn).unwrap().unwrap();
    }
}

#[test]
fn acceptance() {
    let mut setup = setup();
    let row = setup.propose();
    let change = setup.accept(&row, "association", NOW).unwrap();
    let accepted = commit(&mut setup.table, change);
    setup.reload();
    assert_eq!(setup.head.as_ref().unwrap().record.revision, ConfigRevision(1));
    let key = RowKey::Revision(ConfigRevision(1));
    let revision: Versioned<RevisionRecord> = setup.table.load(&key).unwrap().unwrap();
    assert_eq!(
        revision.record.change.config,
        Some(accepted.record.config.clone())
    );
    assert_eq!(revision.record.accepted_by, owner("association"));
    let again = setup.accept(&accepted, "association", NOW);
    assert!(matches!(again, Err(ProposalError::Transition { .. })));
}

#[test]
fn concurrent_acceptances() {
    let mut setup = setup();
    let (first, second) = (setup.propose(), setup.propose());
    let late = setup.accept(&second, "association", NOW).unwrap();
    let change = setup.accept(&first, "association", NOW).unwrap();
    commit(&mut setup.table, change);
    assert!(conflicts(&mut setup.table, &late.transaction));
    setup.reload();
    let base = AcceptanceBase {
        head: setup.head.as_ref(),
        checked_at: ConfigRevision(0),
    };
    let stale = second.accept(&setup.decision("association", NOW), base, write(4));
    assert!(matches!(stale, Err(ProposalError::HeadMoved { .. })));
    let change = setup.accept(&second, "association", NOW).unwrap();
    assert_eq!(change.record.revision, Some(ConfigRevision(2)));
}

#[test]
fn wrong_owner() {
    let mut setup = setup();
    let row = setup.propose();
    let refused = setup.accept(&row, "copa-viva", NOW);
    assert!(matches!(refused, Err(ProposalError::NotYourMonth { .. })));
    let refused = setup.accept(&row, "association", JANUARY);
    assert!(matches!(refused, Err(ProposalError::MonthOver { .. })));
}

/// The owner of the old month accepts while another operator advances the turn.
#[test]
fn month_end() {
    let mut setup = setup();
    let row = setup.propose();
    let late = setup.accept(&row, "association", JANUARY - 1).unwrap();
    let change = setup.turn.advance(JANUARY, write(5)).unwrap();
    commit(&mut setup.table, change);
    assert!(conflicts(&mut setup.table, &late.transaction));
    setup.reload();
    assert!(setup.accept(&row, "copa-viva", JANUARY).is_ok());
}

#[test]
fn decided_otherwise() {
    let mut setup = setup();
    let row = setup.propose();
    let reject = row.reject(&setup.decision("association", NOW), write(3)).unwrap();
    let replaced = row.supersede(write(4)).unwrap();
    assert_eq!(reject.record.decided_by, Some(owner("association")));
    let replaced = commit(&mut setup.table, replaced);
    assert_eq!(replaced.record.state, ProposalState::Superseded);
    assert!(conflicts(&mut setup.table, &reject.transaction));
}

#[test]
fn rotation() {
    let mut turn = setup().turn.record;
    let advance =
        |turn: &TurnRecord, now| Versioned::new(turn.clone(), setup().turn.version).advance(now, write(5));
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
        TurnRecord::begin(Vec::new(), NOW, write(1)).unwrap_err(),
        TurnError::EmptyRotation
    );
}
