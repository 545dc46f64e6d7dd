/** The steps of a change of primary, from stopping replicas to letting them go. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  sleep,
  waitAtMost,
  waitFor,
} from '@kelpstep/runtime';
import type {
  ReadTargetStatus,
  TargetOrder,
  TargetStatus,
} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import {type StoppedTarget, chooseSuccessor} from './choose_successor';
import type {OrderPromotion} from './succession_row';
import type {SuccessionTurn} from './succession_row_writer';

/** How a change ended; `overtaken`: another proxy goes on with it. */
export type ChangeOutcome = 'done' | 'abandoned' | 'overtaken';

/** What steps are made of. */
export interface SuccessionStepsOptions {
  readonly runtime: Runtime;
  readonly self: string;
  readonly group: TargetGroup;
  readonly readStatus: ReadTargetStatus;
  readonly orderPromotion: OrderPromotion;
  onStep(step: string, target: string, epoch: number): void;
}

/** The steps; each writes to the turn's row before it acts. */
export interface SuccessionSteps {
  /**
   * True if no reached replica receives what the primary has in its log: twice,
   * with a pause, as records are always on their way.
   */
  isIsolated(leader: TargetLink | undefined): Task<boolean>;
  /** The highest term that any reached target knows of. */
  newestTerm(): Task<number>;
  /** Chooses whoever holds all that the demoted primary acknowledged. */
  chooseAfterDemotion(
    leader: TargetLink,
    term: number,
  ): Task<StoppedTarget | undefined>;
  /** Chooses among the replicas, all of them stopped. */
  chooseAfterStop(
    leader: TargetLink | undefined,
    term: number,
  ): Task<StoppedTarget | undefined>;
  promoteChosen(turn: SuccessionTurn, target: string): Task<ChangeOutcome>;
  carryOut(turn: SuccessionTurn, target: string): Task<ChangeOutcome>;
  finish(turn: SuccessionTurn, phase: 'done' | 'abandoned'): Task<void>;
}

/** Targets are let go on only right after the row was written. */
const FRESH_TURN: Milliseconds = 300;
/** Time for a target to carry out an order that needs no slot. */
const ORDER_TIMEOUT: Milliseconds = 400;
/** Time in which open transactions at a leaving primary may still end. */
const OPEN_TRANSACTION_TIME: Milliseconds = 120;
/** How long a successor may take to reach the demoted primary's log end. */
const CATCH_UP_TIME: Milliseconds = 2000;
/** How long all replicas are asked again before a change is given up. */
const STOP_TIME: Milliseconds = 1500;
const STEP_PAUSE: Milliseconds = 20;
/** How long the promoted target is asked whether it leads. */
const LEAD_TIME: Milliseconds = 3000;
/** Orders for one choice, each with an epoch of its own. */
const MAXIMUM_ORDERS = 6;
/**
 * An order is answered in milliseconds. Without an answer it may be done, lost,
 * or done seconds later: then the target is asked, and the order repeated.
 */
const ORDER_PATIENCE: Milliseconds = 300;
/** Time of a promotion, up to a second (brief), and to hear of it. */
const UNANSWERED_LEAD_TIME: Milliseconds = 1250;

/** Looks at the replicas before a primary is taken for isolated. */
const ISOLATION_LOOKS = 2;
/** Pause before each; records arrive within a few round trips. */
const ISOLATION_PAUSE: Milliseconds = 100;

interface Answered {
  readonly link: TargetLink;
  readonly status: TargetStatus;
}

/** Creates the steps for one group. */
export function createSuccessionSteps(
  options: SuccessionStepsOptions,
): SuccessionSteps {
  const {runtime, group, self, onStep} = options;
  const {timer} = runtime;

  /** Writes the choice, has it promoted and lets all receive again. */
  function* promoteChosen(
    turn: SuccessionTurn,
    target: string,
  ): Task<ChangeOutcome> {
    if (!(yield* turn.write({phase: 'ordered', target}))) {
      return 'overtaken';
    }
    return yield* carryOut(turn, target);
  }

  /** Goes on with a choice that is written. */
  function* carryOut(
    turn: SuccessionTurn,
    target: string,
  ): Task<ChangeOutcome> {
    if (!(yield* promote(turn, target))) {
      return 'overtaken';
    }
    yield* finish(turn, 'done');
    return 'done';
  }

  /** Writes the end and lets all targets receive again. */
  function* finish(
    turn: SuccessionTurn,
    phase: 'done' | 'abandoned',
  ): Task<void> {
    const startedAt = timer.now();
    if (yield* turn.write({phase})) {
      yield* resumeAll(startedAt + FRESH_TURN);
    }
  }

  /** Asks all at once; those that don't answer are left out. */
  function* askStatuses(links: readonly TargetLink[]): Task<Answered[]> {
    const asked = links.map(link => ({link, answer: link.askStatus()}));
    const answered: Answered[] = [];
    for (const {link, answer} of asked) {
      const status = yield* waitFor(answer);
      if (status !== undefined) {
        answered.push({link, status});
      }
    }
    return answered;
  }

  function reachedLinks(): TargetLink[] {
    return group.links().filter(link => link.isReached());
  }

  function* isIsolated(leader: TargetLink | undefined): Task<boolean> {
    if (leader === undefined) {
      return false;
    }
    const status = yield* waitFor(leader.askStatus());
    if (status?.role !== 'primary') {
      return false;
    }
    for (let look = 0; look < ISOLATION_LOOKS; look++) {
      yield* sleep(ISOLATION_PAUSE);
      const replicas = yield* askStatuses(
        reachedLinks().filter(link => link !== leader),
      );
      const isBehind = ({status: {received}}: Answered) =>
        compareLogPositions(received, status.received) < 0;
      if (replicas.length === 0 || !replicas.every(isBehind)) {
        return false;
      }
    }
    return true;
  }

  function* newestTerm(): Task<number> {
    let newest = group.positions.leader()?.term ?? 0;
    for (const {status} of yield* askStatuses(reachedLinks())) {
      const {term, termHeld, received} = status;
      newest = Math.max(newest, term, termHeld, received.term);
    }
    return newest;
  }

  function* order(
    link: TargetLink,
    request: TargetOrder,
  ): Task<TargetStatus | undefined> {
    const reply = yield* waitFor(link.order(request, ORDER_TIMEOUT));
    return reply.ok ? options.readStatus(reply.val) : undefined;
  }

  function stoppedAs(link: TargetLink, received: LogPosition): StoppedTarget {
    const {isLeaving, dataCentre} = link.registration();
    return {target: link.target, received, isLeaving, dataCentre};
  }

  /** The primary stops acknowledging; whoever has its log's end may lead. */
  function* chooseAfterDemotion(
    leader: TargetLink,
    term: number,
  ): Task<StoppedTarget | undefined> {
    yield* sleep(OPEN_TRANSACTION_TIME);
    const demoted = yield* order(leader, {kind: 'demote', term});
    if (demoted === undefined) {
      return yield* chooseAfterStop(leader, term);
    }
    onStep('demoted', leader.target, term);
    const deadline = timer.now() + CATCH_UP_TIME;
    while (timer.now() < deadline) {
      const others = group.links().filter(link => link !== leader);
      const stopped = (yield* askStatuses(others)).map(({link, status}) =>
        stoppedAs(link, status.received),
      );
      const demotedAt = demoted.received;
      const successor = chooseSuccessor({stopped, unanswered: 0, demotedAt});
      if (successor !== undefined) {
        return successor;
      }
      yield* sleep(STEP_PAUSE);
    }
    return undefined;
  }

  /** Stops all that may receive, and compares what they have received. */
  function* chooseAfterStop(
    leader: TargetLink | undefined,
    term: number,
  ): Task<StoppedTarget | undefined> {
    const deadline = timer.now() + STOP_TIME;
    const stopped = new Map<string, StoppedTarget>();
    while (timer.now() < deadline) {
      const others = group.links().filter(link => link !== leader);
      const asked = others
        .filter(({target}) => !stopped.has(target))
        .map(link => ({
          link,
          reply: link.order({kind: 'pause', term}, ORDER_TIMEOUT),
        }));
      for (const {link, reply} of asked) {
        const answer = yield* waitFor(reply);
        const status = answer.ok ? options.readStatus(answer.val) : undefined;
        if (status !== undefined) {
          stopped.set(link.target, stoppedAs(link, status.received));
        }
      }
      const unanswered = others.filter(({target}) => !stopped.has(target));
      const successor = chooseSuccessor({
        stopped: [...stopped.values()],
        unanswered: unanswered.length,
        demotedAt: undefined,
      });
      if (successor !== undefined) {
        return successor;
      }
      yield* sleep(STEP_PAUSE);
    }
    return undefined;
  }

  /**
   * Orders the promotion until the target says that it leads. An order without
   * an answer may be carried out later: the next one names the same target with
   * a higher epoch, so that whichever takes effect, the same target leads.
   */
  function* promote(turn: SuccessionTurn, target: string): Task<boolean> {
    for (let orders = 0; orders < MAXIMUM_ORDERS; orders++) {
      const {epoch} = turn.succession();
      const sent = options.orderPromotion({
        group: group.group,
        target,
        holder: self,
        epoch,
      });
      const reply = (yield* waitAtMost(sent, ORDER_PATIENCE)) ?? 'unanswered';
      onStep(`promotion ${reply}`, target, epoch);
      const leadTime = reply === 'done' ? LEAD_TIME : UNANSWERED_LEAD_TIME;
      const mayLead = reply === 'done' || reply === 'unanswered';
      if (mayLead && (yield* leadsSoon(target, leadTime))) {
        return true;
      }
      if (!(yield* turn.write({epoch: epoch + 1}))) {
        return false;
      }
    }
    return false;
  }

  function* leadsSoon(target: string, leadTime: Milliseconds): Task<boolean> {
    const deadline = timer.now() + leadTime;
    while (timer.now() < deadline) {
      const link = group.link(target);
      if (link === undefined || !link.isReached()) {
        return false;
      }
      const status = yield* waitFor(link.askStatus());
      if (status?.role === 'primary') {
        return true;
      }
      yield* sleep(STEP_PAUSE);
    }
    return false;
  }

  /**
   * Nothing is sent after `until`: a proxy that stood still meanwhile could let
   * targets go on that another one has stopped by then.
   */
  function* resumeAll(until: Milliseconds): Task<void> {
    const asked = reachedLinks().map(link =>
      link.order({kind: 'resume'}, ORDER_TIMEOUT, until),
    );
    for (const reply of asked) {
      yield* waitFor(reply);
    }
  }

  return {
    isIsolated,
    newestTerm,
    chooseAfterDemotion,
    chooseAfterStop,
    promoteChosen,
    carryOut,
    finish,
  };
}
