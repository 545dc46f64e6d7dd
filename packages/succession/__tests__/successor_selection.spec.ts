import type {TargetCommand} from '@kelpstep/statements';
import {expect} from 'earl';
import {describe, test} from 'node:test';

import type {CommitEvidence} from '../src/commit_inquiry';
import {REPLICA, type Setup, createFakeTarget, setUp} from './selection_setup';

describe('the selection of a successor', () => {
  const shorter = {...REPLICA, received: {term: 1, position: 4}};

  test('waits for a replica whose pause was not accepted', () => {
    const held = createFakeTarget('b', {...REPLICA, term: 9});
    const {hold, selected, timer} = setUp({
      members: [createFakeTarget('a', shorter), held],
    });
    hold.refresh();
    expect(selected()).toEqual(undefined);
    timer.advance(100);
    hold.refresh();
    expect(selected()).toEqual('b');
    expect(hold.term()).toEqual(10);
  });

  test('pauses again above the term of an earlier pause, which may have ended', () => {
    const held = createFakeTarget('a', {...REPLICA, termHeld: 5});
    const {hold, selected, timer} = setUp({members: [held]});
    hold.refresh();
    expect(selected()).toEqual(undefined);
    timer.advance(100);
    hold.refresh();
    expect(selected()).toEqual('a');
  });

  // Guards against a primary that returns under another id and keeps the group
  // from having a successor.
  test('demotes a target that should be a replica and is primary', () => {
    const returned = createFakeTarget('b', {...REPLICA, role: 'primary'});
    const {hold, selected, verdictOf, timer} = setUp({
      members: [createFakeTarget('a', shorter), returned],
    });
    hold.refresh();
    expect(selected()).toEqual('a');
    expect(returned.status.role).toEqual('primary');
    hold.startDemoting();
    expect(selected()).toEqual(undefined);
    expect(verdictOf('b')).toEqual('primary');
    hold.refresh();
    expect(returned.status.role).toEqual('replica');
    timer.advance(20);
    hold.refresh();
    expect(selected()).toEqual('b');
  });

  // Guards against a target that is demoted once its promotion takes effect, if
  // the change knows of no primary.
  test('leaves a target alone that leads a new term', () => {
    const promoted = createFakeTarget('b', REPLICA);
    const {hold, timer} = setUp({
      members: [createFakeTarget('a', REPLICA), promoted],
    });
    hold.refresh();
    hold.startDemoting();
    promoted.status = {...REPLICA, role: 'primary', term: 2};
    timer.advance(100);
    hold.refresh();
    timer.advance(100);
    hold.refresh();
    expect(promoted.status.role).toEqual('primary');
    expect(hold.isOver()).toEqual(true);
  });

  // Guards against a choice without the replica that has the only copy because
  // the proxy takes it for the primary.
  test('ends if a target knows a newer term than that of the primary', () => {
    const {hold, selected} = setUp({
      members: [
        createFakeTarget('a', shorter),
        createFakeTarget('b', {...REPLICA, term: 2}),
      ],
      primary: createFakeTarget('c', REPLICA),
    });
    hold.refresh();
    expect(hold.isOver()).toEqual(true);
    expect(selected()).toEqual(undefined);
  });

  test('does not rely on old answers', () => {
    const {hold, selected, timer} = setUp({
      members: [createFakeTarget('a', REPLICA)],
    });
    hold.refresh();
    expect(selected()).toEqual('a');
    timer.advance(300);
    expect(selected()).toEqual(undefined);
  });

  test('takes a demoted primary at its word only if it led until then', () => {
    const led = createFakeTarget('c', {...REPLICA, role: 'primary'});
    const {hold, runtime, timer} = setUp({
      members: [createFakeTarget('a', REPLICA)],
      primary: led,
    });
    const demotion = runtime.spawn('demote', hold.demotePrimary());
    timer.advance(100);
    let isDemoted: boolean | undefined;
    demotion.result.onSettled(result => {
      isDemoted = result;
    });
    expect(isDemoted).toEqual(true);
    expect(hold.demotedLogEnd()).toEqual(REPLICA.received);

    const replaced = setUp({
      members: [createFakeTarget('a', REPLICA)],
      primary: createFakeTarget('c', shorter),
    });
    replaced.runtime.spawn('demote', replaced.hold.demotePrimary());
    replaced.timer.advance(500);
    expect(replaced.hold.demotedLogEnd()).toEqual(undefined);
  });

  test('stops the group again if a pause or a demotion has ended', () => {
    const replica = createFakeTarget('a', REPLICA);
    const primary = createFakeTarget('b', {...REPLICA, role: 'primary'});
    const {hold, selected, timer} = setUp({members: [replica], primary});
    hold.startDemoting();
    hold.refresh();
    replica.status = REPLICA;
    primary.status = {...REPLICA, role: 'primary'};
    timer.advance(100);
    hold.refresh();
    expect(replica.status.termHeld).toEqual(2);
    expect(primary.status.role).toEqual('replica');
    expect(selected()).toEqual('a');
  });

  /** Selects after an isolated primary with a longer log was demoted. */
  function selectAfterDemotion(evidence: CommitEvidence): Setup {
    const replica = createFakeTarget('a', shorter);
    const primary = createFakeTarget('b', {...REPLICA, role: 'primary'});
    const setup = setUp({members: [replica], primary, evidence});
    setup.runtime.spawn('demote', setup.hold.demotePrimary());
    setup.timer.advance(100);
    return setup;
  }

  test('passes over commits of an isolated primary that nobody acknowledged', () => {
    const {selected} = selectAfterDemotion({
      newestCommit: {term: 1, after: {term: 1, position: 3}},
      mayLackCopies: false,
    });
    expect(selected()).toEqual('a');
  });

  // Guards against the loss of commits that a target outside the table received.
  test('keeps the primary if a peer knows a commit that no replica holds', () => {
    const {selected, verdictOf} = selectAfterDemotion({
      newestCommit: {term: 1, after: shorter.received},
      mayLackCopies: false,
    });
    expect(selected()).toEqual('b');
    expect(verdictOf('a')).toEqual('incomplete');
  });

  // Guards against the loss of commits whose other copy has left with a target.
  test('keeps the primary if a target has left with what no replica holds', () => {
    expect(selectAfterDemotion({mayLackCopies: true}).selected()).toEqual('b');
  });

  test('waits for a lost primary that alone holds an acknowledged commit', () => {
    const lost = createFakeTarget('b', {...REPLICA, role: 'primary'});
    const {hold, selected, verdictOf} = setUp({
      members: [createFakeTarget('a', shorter)],
      primary: lost,
      evidence: {
        newestCommit: {term: 1, after: shorter.received},
        mayLackCopies: false,
      },
    });
    hold.refresh();
    expect(selected()).toEqual(undefined);
    expect(verdictOf('a')).toEqual('incomplete');
  });

  // Guards against a lost log after all proxies that knew of its copies ended.
  test('waits for a silent primary while nobody vouches for other copies', () => {
    const members = [createFakeTarget('a', REPLICA)];
    const silent = createFakeTarget('b', {...REPLICA, role: 'primary'});
    const evidence = {mayLackCopies: true};
    const {hold, selected} = setUp({members, primary: silent, evidence});
    hold.refresh();
    expect(selected()).toEqual(undefined);
    const unknown = setUp({members, evidence});
    unknown.hold.refresh();
    unknown.timer.advance(100);
    unknown.hold.refresh();
    expect(unknown.selected()).toEqual('a');
  });

  // Guards against a recorded target that is selected by an earlier comparison,
  // although the primary has led since and another replica has received more.
  test('does not rely on a comparison that a longer log disproves', () => {
    const primary = createFakeTarget('c', {...REPLICA, role: 'primary'});
    const replica = createFakeTarget('b', shorter);
    const down = createFakeTarget('d', shorter);
    const {hold, select, timer} = setUp({
      members: [createFakeTarget('a', shorter), replica, down],
      primary,
    });
    hold.refresh();
    hold.recordCompleteEnd(shorter.received);
    Object.assign(down.link, {isDown: () => true});
    replica.status = {...replica.status, received: REPLICA.received};
    timer.advance(100);
    hold.refresh();
    timer.advance(260);
    hold.refresh();
    expect(select('a')).toEqual(undefined);
  });

  // Guards against a choice without the evidence of a peer on a slow machine.
  test('waits for a peer that has not answered yet', () => {
    const {hold, selected, timer} = setUp({
      members: [createFakeTarget('a', shorter)],
      primary: createFakeTarget('b', {...REPLICA, role: 'primary'}),
      evidenceDelay: 120,
    });
    hold.refresh();
    timer.advance(110);
    hold.refresh();
    expect(selected()).toEqual(undefined);
    timer.advance(20);
    expect(selected()).toEqual('a');
  });

  test('does not demote the primary while its own promotion is ordered', () => {
    const {hold, timer} = selectAfterDemotion({mayLackCopies: true});
    const {link} = hold.primary ?? {};
    hold.setOrdered('b');
    const fake = link as unknown as {commands: TargetCommand[]};
    const before = fake.commands.length;
    timer.advance(200);
    hold.refresh();
    expect(fake.commands.slice(before).map(({kind}) => kind)).toEqual([
      'status',
    ]);
  });
});
