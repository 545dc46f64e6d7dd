/** The first checks of a request: names, deadline, token. */
import {digestKey} from '@kelpstep/accounts';
import type {Group, Manifest, RequestKind} from '@kelpstep/manifest';
import {Failure, LogPosition, createFailure} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import {
  EMPTY_SESSION,
  Session,
  decodeToken,
  hasRoom,
  positionOf,
} from '@kelpstep/session';
import {Err, Ok, Result} from 'ts-results';

import type {RequestLimits} from './limits';

/** What all callers' requests carry. */
export interface RequestFields {
  readonly group: string;
  readonly kind?: string | undefined;
  readonly token?: string | undefined;
  readonly deadline?: number | undefined;
  readonly accountKey?: string | undefined;
}

/** Who sends a request. */
export type RequestSource =
  | 'caller'
  /** Another proxy, which has checked the caller's key. */
  | 'proxy';

/** A request whose fields make sense. */
export interface CheckedRequest {
  readonly manifest: Manifest;
  readonly group: Group;
  readonly worth: number;
  /** Monotonic time. */
  readonly deadline: Milliseconds;
  readonly session: Session;
  /** What the session has seen of the group; `undefined` without a token. */
  readonly seen: LogPosition | undefined;
}

/** Groups and kinds of a manifest by name. */
interface ManifestIndex {
  readonly manifest: Manifest;
  readonly groups: ReadonlyMap<string, Group>;
  readonly kinds: ReadonlyMap<string, RequestKind>;
  /** Undefined if callers need no key. */
  readonly keyDigests: ReadonlySet<string> | undefined;
}

function indexManifest(manifest: Manifest): ManifestIndex {
  return {
    manifest,
    groups: new Map(manifest.groups.map(group => [group.name, group])),
    kinds: new Map(manifest.kinds.map(kind => [kind.name, kind])),
    keyDigests:
      manifest.accounts &&
      new Set(manifest.accounts.flatMap(({keyDigests}) => keyDigests)),
  };
}

function hasAccount({keyDigests}: ManifestIndex, accountKey: string): boolean {
  return keyDigests?.has(digestKey(Buffer.from(accountKey))) ?? true;
}

/** Checks the fields that all requests have. */
export type RequestIntake = (
  fields: RequestFields,
  source: RequestSource,
) => Result<CheckedRequest, Failure>;

/** What the checks need. */
export interface RequestIntakeOptions {
  readonly timer: TimerService;
  readonly limits: RequestLimits;
  manifest(): Manifest | undefined;
  /** False while a newer manifest may be in force elsewhere. */
  isManifestCurrent(): boolean;
}

/** Time in which a proxy learns whether there is a newer manifest. */
const CONFIRMATION_TIME: Milliseconds = 300;

/** Creates the checks; they index each manifest once. */
export function createRequestIntake(
  options: RequestIntakeOptions,
): RequestIntake {
  const {timer, limits} = options;
  let index: ManifestIndex | undefined;

  function currentIndex(): ManifestIndex | undefined {
    const manifest = options.manifest();
    if (manifest === undefined) {
      return undefined;
    }
    if (index?.manifest !== manifest) {
      index = indexManifest(manifest);
    }
    return index;
  }

  /** The caller's deadline is on the wall clock, all inside is monotonic. */
  function deadlineOf(
    requested: number | undefined,
    kind: RequestKind | undefined,
  ): Result<Milliseconds, Failure> {
    const time =
      requested === undefined
        ? (kind?.deadline ?? limits.defaultDeadline)
        : requested - timer.wallClock();
    return time <= 0
      ? Err(createFailure('DEADLINE_PASSED'))
      : Ok(timer.now() + Math.min(time, limits.maximumDeadline));
  }

  function sessionOf(
    token: string | undefined,
    group: string,
  ): Result<Session, Failure> {
    const decoded = decodeToken(token ?? '');
    if (decoded.ok && !hasRoom(decoded.val, group)) {
      const message = 'The token names too many groups: begin a new session.';
      return Err(createFailure('BAD_TOKEN', {message}));
    }
    return decoded;
  }

  /** A name is denied for good only if no manifest can be missing that has it. */
  function denyName(
    name: 'UNKNOWN_ACCOUNT' | 'UNKNOWN_GROUP' | 'UNKNOWN_KIND',
  ): Failure {
    return options.isManifestCurrent()
      ? createFailure(name)
      : createFailure('NOT_READY', {
          message: 'The manifest may be out of date.',
          retryAfter: CONFIRMATION_TIME,
        });
  }

  return (fields, source) => {
    const known = currentIndex();
    if (known === undefined) {
      return Err(createFailure('NOT_READY'));
    }
    if (source === 'caller' && !hasAccount(known, fields.accountKey ?? '')) {
      return Err(denyName('UNKNOWN_ACCOUNT'));
    }
    const group = known.groups.get(fields.group);
    if (group === undefined) {
      return Err(denyName('UNKNOWN_GROUP'));
    }
    const kind =
      fields.kind === undefined ? undefined : known.kinds.get(fields.kind);
    if (fields.kind !== undefined && kind === undefined) {
      return Err(denyName('UNKNOWN_KIND'));
    }
    const deadline = deadlineOf(fields.deadline, kind);
    if (deadline.err) {
      return deadline;
    }
    const session = sessionOf(fields.token, fields.group);
    if (session.err) {
      return session;
    }
    return Ok({
      manifest: known.manifest,
      group,
      worth: kind?.worth ?? limits.defaultWorth,
      deadline: deadline.val,
      session: session.val,
      seen:
        fields.token === undefined
          ? undefined
          : positionOf(session.val ?? EMPTY_SESSION, fields.group),
    });
  };
}
