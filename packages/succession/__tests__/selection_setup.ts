/** Targets, a hold and an inquiry for specs of the selection of a successor. */
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type VirtualTimer,
  createDeferred,
  createRandom,
  createRuntime,
  createVirtualTimer,
  settledFuture,
} from '@kelpstep/runtime';
import type {
  StatementAnswer,
  TargetCommand,
  TargetStatus,
} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';
import {Ok} from 'ts-results';

import type {LastPrimary} from '../src/absent_primary';
import {type CommitEvidence, createCommitInquiry} from '../src/commit_inquiry';
import {createReplicationHold} from '../src/replication_hold';
import {selectSuccessor} from '../src/successor_selection';

export const REPLICA: TargetStatus = {
  role: 'replica',
  term: 1,
  received: {term: 1, position: 7},
  termHeld: 0,
};

export interface FakeTarget {
  readonly link: TargetLink;
  status: TargetStatus;
  readonly commands: TargetCommand[];
}

/** A target that answers commands as the platform's targets do. */
export function createFakeTarget(
  target: string,
  initial: TargetStatus,
): FakeTarget {
  const commands: TargetCommand[] = [];
  const answer = () =>
    ({rows: [JSON.stringify(fake.status)]}) as unknown as StatementAnswer;
  const link = {
    target,
    commands,
    registration: () => ({isLeaving: false, dataCentre: 'x'}),
    isReached: () => true,
    isDown: () => false,
    probeStatus: () => settledFuture(fake.status),
    sendCommand(command: TargetCommand) {
      commands.push(command);
      const {status} = fake;
      const newest = Math.max(status.term, status.termHeld);
      if (command.kind === 'pause' && command.term > newest) {
        fake.status = {...status, termHeld: command.term};
      }
      if (command.kind === 'demote' && status.role === 'primary') {
        fake.status = {...status, role: 'replica'};
      }
      return settledFuture(Ok(answer()));
    },
  } as unknown as TargetLink;
  const fake: FakeTarget = {link, status: initial, commands};
  return fake;
}

function readStatus({rows}: StatementAnswer): TargetStatus {
  return JSON.parse(rows[0] ?? '') as TargetStatus;
}

export interface Setup {
  readonly timer: VirtualTimer;
  readonly runtime: Runtime;
  readonly hold: ReturnType<typeof createReplicationHold>;
  selected(): string | undefined;
  /** The same, if a target is preferred that qualifies. */
  select(preferred: string): string | undefined;
  verdictOf(target: string): string | undefined;
}

export interface SetupOptions {
  readonly members: readonly FakeTarget[];
  /** The primary that the hold replaces; it led term 1. */
  readonly primary?: FakeTarget;
  /** Log end of the primary that the row tells. */
  readonly demotedEnd?: LogPosition;
  /** Highest term known before the hold; 1 by default. */
  readonly highestTerm?: number;
  /** What a peer knows; by default that copies are complete. */
  readonly evidence?: CommitEvidence;
  readonly evidenceDelay?: Milliseconds;
  /** The last primary that the proxy knows. */
  readonly last?: LastPrimary;
}

/** Creates a hold of these targets, and the selection among them. */
export function setUp(options: SetupOptions): Setup {
  const {members, primary, demotedEnd, last} = options;
  const {highestTerm = 1, evidenceDelay = 0} = options;
  const {evidence = {mayLackCopies: false}} = options;
  const timer = createVirtualTimer();
  const runtime = createRuntime({timer, random: createRandom(1)});
  const links = [...members, ...(primary ? [primary] : [])];
  const isAwaited = primary !== undefined || last !== undefined;
  const group = {
    links: () => links.map(({link}) => link),
    hasSynchronousReplicas: () => true,
    positions: {
      newestCommit: () => undefined,
      leader: () => undefined,
      copies: () => ({lackingSince: undefined, term: 1}),
    },
  } as unknown as TargetGroup;
  const hold = createReplicationHold({
    runtime,
    group,
    readStatus,
    primary: primary && {link: primary.link, term: 1, demotedEnd},
    highestTerm,
    newestTerm: Math.max(...links.map(({status}) => status.term)),
  });
  const inquiry = createCommitInquiry({
    timer,
    group,
    copyRecord: () => undefined,
    absentPrimary: {
      last: () => last,
      remainingWait: () => (isAwaited ? 1000 : 0),
      isAwaited: () => isAwaited,
    },
    askPeers() {
      const answer = createDeferred<CommitEvidence>();
      if (evidenceDelay === 0) {
        answer.settle(evidence);
      } else {
        timer.after(evidenceDelay, () => answer.settle(evidence));
      }
      return [answer.future];
    },
  });
  inquiry.start();
  const select = (preferred = '') =>
    selectSuccessor({
      hold,
      inquiry,
      now: timer.now(),
      since: timer.now() - 250,
      preferred,
      mayLead: !hold.isDemoting(),
      mayKeepPrimary: false,
    });
  return {
    timer,
    runtime,
    hold,
    selected: () => select().successor?.target,
    select: preferred => select(preferred).successor?.target,
    verdictOf: name =>
      select().considered.find(({target}) => target === name)?.verdict,
  };
}
