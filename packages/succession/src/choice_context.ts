/** Describes what a choice of a successor relied on, for the log. */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import type {Milliseconds} from '@kelpstep/runtime';
import {
  type AcknowledgedCommit,
  type DepartedTarget,
  type TargetGroup,
  knownLogEnd,
} from '@kelpstep/targets';

import type {LastPrimary} from './absent_primary';
import {type ConsideredTarget, formatLogEnd} from './choice_report';
import type {CommitEvidence, CommitInquiry} from './commit_inquiry';
import type {ReplacedPrimary, ReplicationHold} from './replication_hold';

/** The primary that is replaced, and the end of its log that is known here. */
export interface KnownPrimary {
  readonly target: string;
  readonly term: number;
  readonly logEnd: LogPosition | undefined;
}

/** The log end that a successor had to reach, and where it is from. */
export interface RequiredEnd {
  readonly end: LogPosition;
  readonly source:
    'demoted primary' | 'row' | 'comparison' | 'last primary' | 'longest log';
}

/** The newest primary that is known, and for how long it is waited for. */
export interface LastPrimaryReport extends LastPrimary {
  /** Infinity while it leads, 0 once the wait is over. */
  readonly remainingWait: Milliseconds;
}

/** A target that has left, and how long ago. */
export interface DepartureReport extends Omit<
  DepartedTarget,
  'removedAt' | 'missingSince' | 'startedAt' | 'hasEnded'
> {
  readonly age: Milliseconds;
  /** Time since which its registration is missing, if it was missing. */
  readonly missingFor: Milliseconds | undefined;
}

/** What a choice relied on besides the answers of the targets. */
export interface ChoiceContext {
  readonly primary: KnownPrimary | undefined;
  readonly required: RequiredEnd | undefined;
  /**
   * It may be another one than `primary`, which is undefined if nothing is known
   * to lead any more.
   */
  readonly lastPrimary: LastPrimaryReport | undefined;
  /** Proxies by whose evidence copies may be lacking; `self` for this one. */
  readonly lackingCopies: readonly string[];
  /** Number of proxies whose evidence was used, this one included. */
  readonly proxyCount: number;
  /** The newest acknowledged commit that one of these proxies knows. */
  readonly newestCommit: AcknowledgedCommit | undefined;
  readonly departed: readonly DepartureReport[];
}

export interface ChoiceContextOptions {
  readonly group: TargetGroup;
  readonly hold: ReplicationHold;
  readonly inquiry: Pick<
    CommitInquiry,
    'evidence' | 'lastPrimary' | 'remainingWait'
  >;
  readonly considered: readonly ConsideredTarget[];
  /** Log end of the last primary, if that vouched for its log. */
  readonly vouchedEnd?: LogPosition | undefined;
  readonly now: Milliseconds;
}

/** Returns what this proxy knows of the primary that is replaced. */
export function describePrimary(
  {positions}: TargetGroup,
  primary: ReplacedPrimary | undefined,
): KnownPrimary | undefined {
  if (primary === undefined) {
    return undefined;
  }
  const {link, term} = primary;
  const {target} = link;
  return {target, term, logEnd: knownLogEnd(positions, target)};
}

function isSame(left: LogPosition, right: LogPosition | undefined): boolean {
  return right !== undefined && compareLogPositions(left, right) === 0;
}

function requiredEnd({
  hold,
  considered,
  vouchedEnd,
}: ChoiceContextOptions): RequiredEnd | undefined {
  const complete = hold.completeEnd();
  if (complete !== undefined) {
    if (isSame(complete, hold.demotedLogEnd())) {
      return {end: complete, source: 'demoted primary'};
    }
    const isRecorded = isSame(complete, hold.primary?.completeEnd);
    return {end: complete, source: isRecorded ? 'row' : 'comparison'};
  }
  if (vouchedEnd !== undefined) {
    return {end: vouchedEnd, source: 'last primary'};
  }
  const replaced = hold.primary?.link.target;
  const ends = considered
    .filter(({target}) => target !== replaced)
    .flatMap(({status}) => (status === undefined ? [] : [status.received]))
    .sort(compareLogPositions);
  const longest = ends[ends.length - 1];
  return longest && {end: longest, source: 'longest log'};
}

function newestOf(
  evidence: readonly CommitEvidence[],
): AcknowledgedCommit | undefined {
  return evidence
    .flatMap(({newestCommit}) => newestCommit ?? [])
    .sort(
      (left, right) =>
        right.term - left.term || compareLogPositions(right.after, left.after),
    )[0];
}

/** Adds for how long the registration of a considered target is missing. */
export function withMissingTime(
  considered: readonly ConsideredTarget[],
  group: TargetGroup,
  now: Milliseconds,
): ConsideredTarget[] {
  return considered.map(each => {
    const since = group.missingSince(each.target);
    return since === undefined ? each : {...each, missingFor: now - since};
  });
}

/** Describes what a choice relied on. */
export function describeContext(options: ChoiceContextOptions): ChoiceContext {
  const {group, hold, inquiry, now} = options;
  // A peer that was asked twice may have answered twice.
  const evidence = inquiry.evidence();
  const nameOf = ({proxy = 'self'}: CommitEvidence) => proxy;
  const last = inquiry.lastPrimary();
  const lacking = evidence.filter(({mayLackCopies}) => mayLackCopies);
  return {
    primary: describePrimary(group, hold.primary),
    required: requiredEnd(options),
    lastPrimary: last && {...last, remainingWait: inquiry.remainingWait()},
    lackingCopies: [...new Set(lacking.map(nameOf))],
    proxyCount: new Set(evidence.map(nameOf)).size,
    newestCommit: newestOf(evidence),
    departed: group
      .departed()
      .map(({target, reason, logEnd, removedAt, missingSince}) => ({
        target,
        reason,
        logEnd,
        age: now - removedAt,
        missingFor: missingSince === undefined ? undefined : now - missingSince,
      })),
  };
}

/** Formats a primary as `TARGET term TERM end END`. */
export function formatPrimary(primary: KnownPrimary | undefined): string {
  return primary === undefined
    ? 'unknown'
    : `${primary.target} term ${primary.term} end ${formatLogEnd(primary.logEnd)}`;
}

function formatLastPrimary(last: LastPrimaryReport | undefined): string {
  if (last === undefined) {
    return 'unknown';
  }
  const {target, term, remainingWait} = last;
  const wait =
    remainingWait === Infinity ? '' : ` ${Math.round(remainingWait)}`;
  const state = remainingWait === 0 ? 'not awaited' : `awaited${wait}`;
  return `${target} term ${term} ${state}`;
}

function formatDeparture(departure: DepartureReport): string {
  const {target, reason, logEnd, age, missingFor} = departure;
  const missing =
    missingFor === undefined ? '' : ` missing ${Math.round(missingFor)}`;
  return `${target} ${reason} ${Math.round(age)}${missing} end ${formatLogEnd(logEnd)}`;
}

/** Formats a context as `NAME: VALUE`, separated by semicolons; times in ms. */
export function formatContext(context: ChoiceContext): string {
  const {primary, required, lackingCopies, newestCommit, departed} = context;
  const end = required && `${formatLogEnd(required.end)} of ${required.source}`;
  const commit =
    newestCommit &&
    `term ${newestCommit.term} after ${formatLogEnd(newestCommit.after)}`;
  return [
    `replaced: ${formatPrimary(primary)}`,
    `required: ${end ?? 'unknown'}`,
    `last primary: ${formatLastPrimary(context.lastPrimary)}`,
    `lacking copies: ${lackingCopies.join(' ') || 'none'} of ${context.proxyCount} heard`,
    `newest commit: ${commit ?? 'unknown'}`,
    `departed: ${departed.map(formatDeparture).join(', ') || 'none'}`,
  ].join('; ');
}
