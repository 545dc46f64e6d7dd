/**
 * Judges proxies by what callers and targets saw. A finding names the rule that
 * was broken and the request that shows it.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Freshness} from '@kelpstep/gateway';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {
  LogRecord,
  PromotionRecord,
  RunRecorder,
  StandInTarget,
  StatementRun,
} from '@kelpstep/stand-ins';
import {STATEMENT_ERRORS, type StatementAnswer} from '@kelpstep/statements';

/** Promises that are checked. */
export type Rule =
  | 'stale read'
  | 'wrong settings'
  | 'wrong shape'
  | 'outside its transaction'
  | 'commit lost'
  | 'written twice'
  | 'refused but committed'
  | 'wrong answer'
  | 'epoch used twice'
  | 'not asked for'
  | 'wrong account'
  | 'key taken away';

/** A broken promise. */
export interface BrokenRule {
  readonly rule: Rule;
  readonly at: Milliseconds;
  readonly detail: string;
}

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  /** Account whose key the caller has; undefined where nobody needs one. */
  readonly account: string | undefined;
  readonly session: number;
  readonly kind: 'read' | 'write' | 'commit';
  readonly freshness: Freshness;
  readonly maximumStaleness: Milliseconds;
  /** When the request, or its transaction's first one, was sent. */
  readonly since: Milliseconds;
  readonly values: ReadonlyMap<string, string>;
  readonly shape: string | undefined;
  /** The caller's transaction; undefined outside one. */
  readonly transaction: number | undefined;
  /** Writes that a commit covers; of a single write its own id. */
  readonly writes: readonly string[];
}

/** Takes what callers and targets saw. */
export interface RuleChecker extends RunRecorder {
  onSent(request: SentRequest): void;
  onAnswer(request: SentRequest, answer: StatementAnswer): void;
  /** Nothing that is sent from then on may run for the account. */
  onKeysTakenAway(account: string, from: Milliseconds): void;
  /** The attempt to which these writes belong was given a promise. */
  onPromise(writes: readonly string[]): void;
  /** Judges what is left once all is quiet. */
  finish(primary: StandInTarget | undefined): void;
  /** When operations of an account were sent, and when targets ran them. */
  operationsOf(account: string): readonly RunOperation[];
  broken(): readonly BrokenRule[];
  acknowledged(): number;
}

/** An operation as quotas count it: a transaction is one. */
export interface RunOperation {
  readonly sentAt: Milliseconds;
  readonly ranAt: Milliseconds;
}

interface Acknowledged {
  readonly writes: readonly string[];
  readonly session: number;
  readonly at: Milliseconds;
}

/** Creates a checker of one group's targets. */
export function createRuleChecker(
  timer: TimerService,
  target: (name: string) => StandInTarget,
): RuleChecker {
  const findings: BrokenRule[] = [];
  const sent = new Map<string, SentRequest>();
  const sentAt = new Map<string, Milliseconds>();
  const operations = new Map<string, RunOperation[]>();
  const takenAwayAt = new Map<string, Milliseconds>();
  const acknowledged: Acknowledged[] = [];
  const promised = new Set<string>();
  const places = new Map<number, string>();
  const epochs = new Map<number, string>();
  const indexes = new Map<
    string,
    {end: string; positions: Map<string, LogPosition>}
  >();

  function report(rule: Rule, detail: string): void {
    findings.push({rule, at: timer.now(), detail});
  }

  function idsOf(log: readonly LogRecord[]): Set<string> {
    return new Set(log.flatMap(({writes}) => writes));
  }

  function mustSee(request: SentRequest, commit: Acknowledged): boolean {
    const {freshness, since, maximumStaleness, session} = request;
    if (freshness === 'primary') {
      return commit.at < since;
    }
    const isOwn = freshness === 'readYourWrites' && commit.session === session;
    return commit.at < (isOwn ? since : since - maximumStaleness);
  }

  /** Where each write stands in a target's log; kept until the log changes. */
  function indexOf(name: string): Map<string, LogPosition> {
    const log = target(name).log();
    const last = log[log.length - 1]?.position;
    const end = `${last?.term}.${last?.position}/${log.length}`;
    const known = indexes.get(name);
    if (known !== undefined && known.end === end) {
      return known.positions;
    }
    const positions = new Map(
      log.flatMap(({writes, position}) =>
        writes.map(id => [id, position] as const),
      ),
    );
    indexes.set(name, {end, positions});
    return positions;
  }

  function checkFreshness(run: StatementRun, request: SentRequest): void {
    const end = run.position;
    const index = indexOf(run.target);
    function isSeen(id: string): boolean {
      const position = index.get(id);
      return position !== undefined && compareLogPositions(position, end) <= 0;
    }
    const missed = acknowledged.find(
      commit => mustSee(request, commit) && !commit.writes.every(isSeen),
    );
    if (missed !== undefined) {
      report(
        'stale read',
        `${run.id} at ${run.target} ${end.term}.${end.position} lacks ${missed.writes.join()}`,
      );
    }
  }

  function sameValues(
    left: ReadonlyMap<string, string>,
    right: ReadonlyMap<string, string>,
  ): boolean {
    return (
      left.size === right.size &&
      [...left].every(([name, value]) => right.get(name) === value)
    );
  }

  function checkTransaction(run: StatementRun, request: SentRequest): void {
    const isInside = run.transaction !== undefined;
    if (isInside !== (request.transaction !== undefined)) {
      report('outside its transaction', run.id);
      return;
    }
    if (request.transaction === undefined) {
      return;
    }
    const place = `${run.target}/${run.connection}/${run.transaction}`;
    const known = places.get(request.transaction) ?? place;
    places.set(request.transaction, known);
    if (known !== place) {
      report('outside its transaction', `${run.id}: ${place}, not ${known}`);
    }
  }

  function checkAccount(run: StatementRun, request: SentRequest): void {
    const {account} = request;
    if (run.user !== account) {
      report('wrong account', `${run.id}: ${run.user}, not ${account}`);
    }
    const isFirst =
      request.transaction === undefined || !places.has(request.transaction);
    if (account !== undefined && isFirst) {
      const known = operations.get(account) ?? [];
      known.push({sentAt: request.since, ranAt: run.at});
      operations.set(account, known);
    }
    const limit = takenAwayAt.get(account ?? '') ?? Infinity;
    if ((sentAt.get(run.id) ?? 0) > limit) {
      report('key taken away', `${run.id} of ${account}`);
    }
  }

  function onRun(run: StatementRun): void {
    const request = sent.get(run.id);
    if (request === undefined || request.kind !== run.kind) {
      report('not asked for', run.id);
      return;
    }
    checkAccount(run, request);
    checkTransaction(run, request);
    if (run.kind === 'commit') {
      return;
    }
    if (!sameValues(run.values, request.values)) {
      report('wrong settings', run.id);
    }
    if (run.shape !== request.shape) {
      report('wrong shape', `${run.id}: ${run.shape}`);
    }
    if (run.kind === 'read') {
      checkFreshness(run, request);
    }
  }

  function onPromotion(promotion: PromotionRecord): void {
    const held = idsOf(promotion.log);
    for (const {writes} of acknowledged) {
      if (!writes.every(id => held.has(id))) {
        report('commit lost', `${writes.join()} at ${promotion.target}`);
      }
    }
    const holder = epochs.get(promotion.epoch) ?? promotion.holder;
    epochs.set(promotion.epoch, holder);
    if (holder !== promotion.holder) {
      report('epoch used twice', `${promotion.epoch}`);
    }
  }

  const receipts = {read: 'r', write: 'w', commit: 'c'} as const;

  function onAnswer(request: SentRequest, answer: StatementAnswer): void {
    if (answer.error !== undefined) {
      return;
    }
    const isWhole =
      answer.receipt === `${receipts[request.kind]}-${request.id}` &&
      (request.kind !== 'read' || answer.rows[0] === `row of ${request.id}`);
    if (!isWhole) {
      report('wrong answer', request.id);
    }
    const isCommit =
      request.kind === 'commit' ||
      (request.kind === 'write' && request.transaction === undefined);
    if (isCommit && request.writes.length > 0) {
      const {writes, session} = request;
      acknowledged.push({writes, session, at: timer.now()});
    }
  }

  function finish(primary: StandInTarget | undefined): void {
    const all = primary?.log().flatMap(({writes}) => writes) ?? [];
    const held = new Set(all);
    if (held.size !== all.length) {
      const twice = all.filter((id, index) => all.indexOf(id) !== index);
      report('written twice', twice.join());
    }
    for (const {writes} of acknowledged) {
      if (!writes.every(id => held.has(id))) {
        report('commit lost', `${writes.join()} in the end`);
      }
    }
    for (const id of promised) {
      if (held.has(id)) {
        report('refused but committed', id);
      }
    }
  }

  return {
    onSent(request) {
      sent.set(request.id, request);
      sentAt.set(request.id, timer.now());
    },
    onKeysTakenAway: (account, from) => void takenAwayAt.set(account, from),
    onAnswer,
    onPromise: writes => writes.forEach(id => promised.add(id)),
    onRun,
    onPromotion,
    finish,
    operationsOf: account => operations.get(account) ?? [],
    broken: () => findings,
    acknowledged: () => acknowledged.length,
  };
}

/** True if an error promises that nothing of the attempt is kept. */
export function isPromise(answer: StatementAnswer): boolean {
  const {error} = answer;
  return error !== undefined && STATEMENT_ERRORS[error.name].notRun;
}
