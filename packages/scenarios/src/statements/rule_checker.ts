/**
 * Checks proxies against the requests that callers sent, the answers that they
 * received and the statements that targets ran. A finding names the violated
 * rule and the request that shows the violation.
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

/** Rules that are checked. */
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
  | 'key taken away'
  /**
   * A target with every acknowledged commit answers, all faults have ended, and
   * no target was promoted in time.
   */
  | 'no primary';

/** A violation of a rule. */
export interface BrokenRule {
  readonly rule: Rule;
  readonly at: Milliseconds;
  readonly detail: string;
}

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  /** Account whose key the caller uses; undefined if no key is required. */
  readonly account: string | undefined;
  readonly session: number;
  readonly kind: 'read' | 'write' | 'commit';
  readonly freshness: Freshness;
  readonly maximumStaleness: Milliseconds;
  /** When the request, or the first request of its transaction, was sent. */
  readonly since: Milliseconds;
  readonly values: ReadonlyMap<string, string>;
  readonly shape: string | undefined;
  /** Number of the caller's transaction; undefined outside a transaction. */
  readonly transaction: number | undefined;
  /** Ids of the writes that a commit covers; for a single write its own id. */
  readonly writes: readonly string[];
}

/** Records what callers and targets observe, and checks the rules. */
export interface RuleChecker extends RunRecorder {
  onSent(request: SentRequest): void;
  onAnswer(request: SentRequest, answer: StatementAnswer): void;
  /** Requests of the account that are sent after `from` must not run. */
  onKeysRevoked(account: string, from: Milliseconds): void;
  /** The caller was told that none of these writes is committed. */
  onReportedNotRun(writes: readonly string[]): void;
  /** True if the log holds every commit that was acknowledged so far. */
  holdsAllCommits(log: readonly LogRecord[]): boolean;
  /** The group has had no primary since this time and should have one. */
  onPrimaryOverdue(since: Milliseconds): void;
  /** Runs the final checks on the primary's log after the run is quiescent. */
  finish(primary: StandInTarget | undefined): void;
  /** Operations of an account that targets ran. */
  operationsOf(account: string): readonly RunOperation[];
  broken(): readonly BrokenRule[];
  acknowledgedCount(): number;
}

/** An operation as quotas count it: a transaction counts once. */
export interface RunOperation {
  readonly sentAt: Milliseconds;
  readonly ranAt: Milliseconds;
}

interface AcknowledgedCommit {
  readonly writes: readonly string[];
  readonly session: number;
  readonly at: Milliseconds;
}

/** Creates a checker for the targets of one group. */
export function createRuleChecker(
  timer: TimerService,
  target: (name: string) => StandInTarget,
): RuleChecker {
  const findings: BrokenRule[] = [];
  const sent = new Map<string, SentRequest>();
  const sentAt = new Map<string, Milliseconds>();
  const operations = new Map<string, RunOperation[]>();
  const revokedAt = new Map<string, Milliseconds>();
  const acknowledged: AcknowledgedCommit[] = [];
  const reportedNotRun = new Set<string>();
  const transactionLocations = new Map<number, string>();
  const promotersByEpoch = new Map<number, string>();
  const writePositions = new Map<
    string,
    {end: string; positions: Map<string, LogPosition>}
  >();

  function report(rule: Rule, detail: string): void {
    findings.push({rule, at: timer.now(), detail});
  }

  function writeIdsOf(log: readonly LogRecord[]): Set<string> {
    return new Set(log.flatMap(({writes}) => writes));
  }

  function mustObserve(
    request: SentRequest,
    commit: AcknowledgedCommit,
  ): boolean {
    const {freshness, since, maximumStaleness, session} = request;
    if (freshness === 'primary') {
      return commit.at < since;
    }
    const isOwn = freshness === 'readYourWrites' && commit.session === session;
    return commit.at < (isOwn ? since : since - maximumStaleness);
  }

  /** Log position of each write at a target; cached until the log changes. */
  function writePositionsIn(name: string): Map<string, LogPosition> {
    const log = target(name).log();
    const last = log[log.length - 1]?.position;
    const logEnd = `${last?.term}.${last?.position}/${log.length}`;
    const known = writePositions.get(name);
    if (known !== undefined && known.end === logEnd) {
      return known.positions;
    }
    const positions = new Map(
      log.flatMap(({writes, position}) =>
        writes.map(id => [id, position] as const),
      ),
    );
    writePositions.set(name, {end: logEnd, positions});
    return positions;
  }

  function checkFreshness(run: StatementRun, request: SentRequest): void {
    const logEnd = run.position;
    const index = writePositionsIn(run.target);
    function isSeen(id: string): boolean {
      const position = index.get(id);
      return (
        position !== undefined && compareLogPositions(position, logEnd) <= 0
      );
    }
    const missed = acknowledged.find(
      commit => mustObserve(request, commit) && !commit.writes.every(isSeen),
    );
    if (missed !== undefined) {
      report(
        'stale read',
        `${run.id} at ${run.target} ${logEnd.term}.${logEnd.position} lacks ${missed.writes.join()}`,
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
    const location = `${run.target}/${run.connection}/${run.transaction}`;
    const known = transactionLocations.get(request.transaction) ?? location;
    transactionLocations.set(request.transaction, known);
    if (known !== location) {
      report('outside its transaction', `${run.id}: ${location}, not ${known}`);
    }
  }

  function checkAccount(run: StatementRun, request: SentRequest): void {
    const {account} = request;
    if (run.user !== account) {
      report('wrong account', `${run.id}: ${run.user}, not ${account}`);
    }
    const isFirst =
      request.transaction === undefined ||
      !transactionLocations.has(request.transaction);
    if (account !== undefined && isFirst) {
      const known = operations.get(account) ?? [];
      known.push({sentAt: request.since, ranAt: run.at});
      operations.set(account, known);
    }
    const limit = revokedAt.get(account ?? '') ?? Infinity;
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

  /** The acknowledged commits of which a write is not among those present. */
  function findMissingCommits(
    present: ReadonlySet<string>,
  ): AcknowledgedCommit[] {
    return acknowledged.filter(
      ({writes}) => !writes.every(id => present.has(id)),
    );
  }

  function onPromotion(promotion: PromotionRecord): void {
    for (const {writes} of findMissingCommits(writeIdsOf(promotion.log))) {
      report('commit lost', `${writes.join()} at ${promotion.target}`);
    }
    const promoter = promotersByEpoch.get(promotion.epoch) ?? promotion.holder;
    promotersByEpoch.set(promotion.epoch, promoter);
    if (promoter !== promotion.holder) {
      report('epoch used twice', `${promotion.epoch}`);
    }
  }

  const answerPrefixes = {read: 'r', write: 'w', commit: 'c'} as const;

  function onAnswer(request: SentRequest, answer: StatementAnswer): void {
    if (answer.error !== undefined) {
      return;
    }
    const isExpected =
      answer.receipt === `${answerPrefixes[request.kind]}-${request.id}` &&
      (request.kind !== 'read' || answer.rows[0] === `row of ${request.id}`);
    if (!isExpected) {
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
    const allWrites = primary?.log().flatMap(({writes}) => writes) ?? [];
    const present = new Set(allWrites);
    if (present.size !== allWrites.length) {
      const twice = allWrites.filter(
        (id, index) => allWrites.indexOf(id) !== index,
      );
      report('written twice', twice.join());
    }
    for (const {writes} of findMissingCommits(present)) {
      report('commit lost', `${writes.join()} in the end`);
    }
    for (const id of reportedNotRun) {
      if (present.has(id)) {
        report('refused but committed', id);
      }
    }
  }

  return {
    onSent(request) {
      sent.set(request.id, request);
      sentAt.set(request.id, timer.now());
    },
    onKeysRevoked: (account, from) => void revokedAt.set(account, from),
    onAnswer,
    onReportedNotRun: writes => writes.forEach(id => reportedNotRun.add(id)),
    onRun,
    onPromotion,
    holdsAllCommits: log => findMissingCommits(writeIdsOf(log)).length === 0,
    onPrimaryOverdue: since =>
      report('no primary', `since ${Math.round(since)}`),
    finish,
    operationsOf: account => operations.get(account) ?? [],
    broken: () => findings,
    acknowledgedCount: () => acknowledged.length,
  };
}

/** True if the answer's error states that nothing of the attempt was run. */
export function isReportedNotRun(answer: StatementAnswer): boolean {
  const {error} = answer;
  return error !== undefined && STATEMENT_ERRORS[error.name].notRun;
}
